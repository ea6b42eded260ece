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
    public static final int LEAST_TXN_OPS = 2;
    /** The least size of a value, in bytes, in which a job with names of ordinary length and a slice of it fit. */
    public static final int LEAST_VALUE_BYTES = 1024;

    /** One set of limits: requests and changes a second, bytes of a value, changes of a transaction. */
    public record Limits(double rps, double writeRps, int valueBytes, int txnOps) {}

    /** Limits that never change. */
    public static StoreLimits constant(double rps, double writeRps, int valueBytes, int txnOps) {
        Limits limits = new Limits(rps, writeRps, valueBytes, txnOps);
        return new StoreLimits(limits, limits);
    }

    /** Requests a second that are allowed now and later. */
    public double rps() {
        return Math.min(present.rps(), next.rps());
    }

    /** The rate of changes once the smaller limit is in force. */
    public double reducedWriteRps() {
        return Math.min(present.writeRps(), next.writeRps());
    }

    /** The most bytes that a value may have now and later. */
    public int valueBytes() {
        return Math.min(present.valueBytes(), next.valueBytes());
    }

    /** The most changes that a transaction may have now and later. */
    public int txnOps() {
        return Math.min(present.txnOps(), next.txnOps());
    }
}
