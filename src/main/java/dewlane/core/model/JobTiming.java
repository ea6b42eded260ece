package dewlane.core.model;

/**
 * What a job's owner says about its times.
 *
 * @param expectedRunS the estimate of a task's run time in seconds, without the image fetch; often wrong by half
 * @param checkpointIntervalS seconds of progress after which a running task saves a checkpoint; 0 if it never saves
 * @param checkpointDurationS seconds that a task needs to save when it is stopped
 * @param deadlineS seconds from submission by which the job should be done; 0 for no deadline
 */
public record JobTiming(
        double expectedRunS, double checkpointIntervalS, double checkpointDurationS, double deadlineS) {}
