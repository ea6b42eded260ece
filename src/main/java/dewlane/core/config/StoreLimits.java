package dewlane.core.config;

/**
 * Limits of the store: those in force when the controller starts, and those that replace them at some later moment,
 * without notice.
 *
 * <p>Sizes keep within the smaller of both from the start, since a value or transaction that is too large once the
 * limits change could not be written at all. The larger rate is used until the store refuses writes.
 *
 * @param current the limits in force
 * @param next the limits to come; the same ones if none are to come
 */
public record StoreLimits(Limits current, Limits next) {
    /** Writes that a transaction must allow at least: a cancellation writes the job's record and its result. */
    public static final int MIN_TRANSACTION_WRITES = 2;
    /** Bytes that a value must be allowed at least: a job with names of ordinary length fits, and so does a slice. */
    public static final int MIN_VALUE_BYTES = 1024;

    /**
     * One set of limits, for all controllers together.
     *
     * @param requestsPerS requests a second
     * @param writesPerS keys set or deleted a second
     * @param maxValueBytes the most bytes of one value
     * @param maxTransactionWrites the most keys that one transaction sets or deletes
     */
    public record Limits(double requestsPerS, double writesPerS, int maxValueBytes, int maxTransactionWrites) {}

    /** Limits that never change. */
    public static StoreLimits constant(
            double requestsPerS, double writesPerS, int maxValueBytes, int maxTransactionWrites) {
        Limits limits = new Limits(requestsPerS, writesPerS, maxValueBytes, maxTransactionWrites);
        return new StoreLimits(limits, limits);
    }

    /** Requests a second that are allowed now and later. */
    public double requestsPerS() {
        return Math.min(current.requestsPerS(), next.requestsPerS());
    }

    /** Writes a second that are allowed once the smaller limit is in force. */
    public double reducedWritesPerS() {
        return Math.min(current.writesPerS(), next.writesPerS());
    }

    /** The most bytes that a value may have now and later. */
    public int maxValueBytes() {
        return Math.min(current.maxValueBytes(), next.maxValueBytes());
    }

    /** The most writes that a transaction may make now and later. */
    public int maxTransactionWrites() {
        return Math.min(current.maxTransactionWrites(), next.maxTransactionWrites());
    }
}
