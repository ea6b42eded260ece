package dewlane.core.config;

/**
 * Limits of the state service: those in force when the controller starts, and those that replace them at some later
 * moment, which nobody announces.
 *
 * <p>Sizes keep within the smaller of both from the start, since a value or transaction that is too large once the
 * limits change could not be written at all. The larger rate is used until the service refuses changes (see
 * {@link WriteRateLimiter}).
 */
public record StoreLimits(Limits present, Limits next) {
    /** The least number of changes a transaction must allow: a cancellation writes the job and its final state. */
    public static final int MIN_TRANSACTION_WRITES = 2;
    /** The least size of a value, in bytes, in which a job with names of ordinary length and a slice of it fit. */
    public static final int MIN_VALUE_BYTES = 1024;

    /** One set of limits: requests and changes a second, bytes of a value, changes of a transaction. */
    public record Limits(double requestsPerS, double writesPerS, int maxValueBytes, int maxTransactionWrites) {}

    /** Limits that never change. */
    public static StoreLimits constant(double rps, double writeRps, int valueBytes, int txnOps) {
        Limits limits = new Limits(rps, writeRps, valueBytes, txnOps);
        return new StoreLimits(limits, limits);
    }

    /** Requests a second that are allowed now and later. */
    public double requestsPerS() {
        return Math.min(present.requestsPerS(), next.requestsPerS());
    }

    /** The rate of changes once the smaller limit is in force. */
    public double reducedWritesPerS() {
        return Math.min(present.writesPerS(), next.writesPerS());
    }

    /** The most bytes that a value may have now and later. */
    public int maxValueBytes() {
        return Math.min(present.maxValueBytes(), next.maxValueBytes());
    }

    /** The most changes that a transaction may have now and later. */
    public int maxTransactionWrites() {
        return Math.min(present.maxTransactionWrites(), next.maxTransactionWrites());
    }
}
