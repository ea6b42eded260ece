package dewlane.core.model;

/**
 * A job's run time estimate, checkpointing and deadline, as stated by its owner.
 *
 * @param expectedRunS the estimated run time of a task in seconds, without the image fetch; often off by 50 %
 * @param checkpointIntervalS seconds of progress after which a running task saves a checkpoint; 0 if it never does
 * @param checkpointDurationS seconds that a task needs to save a checkpoint when it is stopped
 * @param deadlineS seconds from acceptance within which the job should be done; 0 for no deadline
 */
public record JobTiming(
        double expectedRunS, double checkpointIntervalS, double checkpointDurationS, double deadlineS) {}
