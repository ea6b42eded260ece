package dewlane.core.config;

/**
 * Limits of the store: those in force when the controller starts, and those that replace them later at an unknown time.
 *
 * <p>Size limits are the smaller of both from the start, because a value or transaction that exceeds the new limits
 * could no longer be written after the change. The current write rate is used until the store refuses writes.
 *
 * @param current the limits in force when the controller starts
 * @param next the limits that replace them later; equal to the first ones if no change is announced
 */
public record StoreLimits(Limits current, Limits next) {
    /** The smallest usable limit of writes per transaction: a cancellation writes the job's record and its result. */
    public static final int MIN_TRANSACTION_WRITES = 2;
    /** The smallest usable size limit of a value: a job record with names of usual length fits, and so does a slice. */
    public static final int MIN_VALUE_BYTES = 1024;

    /**
     * One set of limits. The rates apply to all controllers together.
     *
     * @param requestsPerS requests per second
     * @param writesPerS keys set or deleted per second
     * @param maxValueBytes maximum size of one value, in bytes
     * @param maxTransactionWrites maximum number of keys that one transaction sets or deletes
     */
    public record Limits(double requestsPerS, double writesPerS, int maxValueBytes, int maxTransactionWrites) {}

    /** Returns limits for which no change is announced. */
    public static StoreLimits constant(
            double requestsPerS, double writesPerS, int maxValueBytes, int maxTransactionWrites) {
        Limits limits = new Limits(requestsPerS, writesPerS, maxValueBytes, maxTransactionWrites);
        return new StoreLimits(limits, limits);
    }

    /** Requests per second that are allowed both before and after the change. */
    public double requestsPerS() {
        return Math.min(current.requestsPerS(), next.requestsPerS());
    }

    /** Writes per second that are allowed once the smaller limit is in force. */
    public double reducedWritesPerS() {
        return Math.min(current.writesPerS(), next.writesPerS());
    }

    /** Maximum size of a value, in bytes, that is allowed both before and after the change. */
    public int maxValueBytes() {
        return Math.min(current.maxValueBytes(), next.maxValueBytes());
    }

    /** Maximum number of writes per transaction that is allowed both before and after the change. */
    public int maxTransactionWrites() {
        return Math.min(current.maxTransactionWrites(), next.maxTransactionWrites());
    }
}
