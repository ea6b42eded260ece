package dewlane.core.autoscaling;

import dewlane.core.model.Job;

/** The cloud's instances of one type in one zone, on the spot market or on demand. */
record InstancePool(String type, String zone, boolean spot) {
    /** True if tasks of the job may run on instances of the pool. */
    boolean isAllowedFor(Job job) {
        return job.allows(type, zone, spot);
    }
}
