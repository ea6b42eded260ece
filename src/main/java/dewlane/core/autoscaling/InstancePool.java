package dewlane.core.autoscaling;

import dewlane.core.model.Job;

/** The cloud's instances of one machine type in one zone, either spot or on-demand. */
record InstancePool(String type, String zone, boolean spot) {
    /** Returns true if tasks of the job may run on instances of the pool. */
    boolean isAllowedFor(Job job) {
        return job.allows(type, zone, spot);
    }
}
