package dewlane.core.schema;

import java.util.ArrayList;
import java.util.List;

/**
 * A conditional write, which the store applies atomically.
 *
 * @param preconditions the conditions, all of which must hold
 * @param writes the changes that are made if they hold
 */
public record Transaction(List<Precondition> preconditions, List<Write> writes) {
    private static final long NO_LEASE = 0;

    /**
     * A compare-and-swap condition on one key.
     *
     * @param version the revision of the key's latest change; 0 if the key must not exist
     */
    public record Precondition(String key, long version) {}

    /**
     * Sets or deletes one key.
     *
     * @param value the new value, or null to delete the key
     * @param lease the lease to which the key is attached, so that it is deleted when the lease expires; 0 for none
     */
    public record Write(String key, StoredValue value, long lease) {
        /** Returns true if the key is attached to a lease. */
        public boolean hasLease() {
            return lease != NO_LEASE;
        }
    }

    /** How a transaction ended, according to the store's answer. */
    public enum Status {
        /** All writes were applied. */
        COMMITTED,
        /** A precondition did not hold, and nothing was applied. */
        CONFLICT,
        /**
         * Nothing was applied: the store does not accept the transaction, whether or not its preconditions hold. It may
         * exceed a limit, or name a lease that has expired.
         */
        INVALID,
        /** Nothing was applied: the rate limit of writes or requests is exceeded. */
        RATE_LIMITED,
        /** Nothing was applied: the store is unavailable, to all controllers or to this one. */
        UNAVAILABLE,
        /** There was no answer: the transaction may have been applied or may be applied later. */
        UNKNOWN;

        /** Returns true if the answer is final: sending the same transaction again would not change it. */
        public boolean isDefinite() {
            return this == COMMITTED || this == CONFLICT || this == INVALID;
        }
    }

    /** Collects the parts of a transaction. */
    public static final class Builder {
        private final List<Precondition> preconditions = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();

        /** Adds the precondition that a key has the given version; 0 if the key must not exist. */
        public Builder require(String key, long version) {
            Precondition precondition = new Precondition(key, version);
            if (!preconditions.contains(precondition)) {
                preconditions.add(precondition);
            }
            return this;
        }

        /** Adds a write of a key. */
        public Builder put(String key, StoredValue value) {
            writes.add(new Write(key, value, NO_LEASE));
            return this;
        }

        /** Adds a write of a key that the store deletes when the lease expires. */
        public Builder putWithLease(String key, StoredValue value, long lease) {
            writes.add(new Write(key, value, lease));
            return this;
        }

        /** Adds the deletion of a key. */
        public Builder delete(String key) {
            writes.add(new Write(key, null, NO_LEASE));
            return this;
        }

        /** Returns the number of preconditions added so far. */
        public int preconditionCount() {
            return preconditions.size();
        }

        /** Returns the number of writes added so far. */
        public int writeCount() {
            return writes.size();
        }

        /** Returns a transaction of all parts added so far. */
        public Transaction build() {
            return new Transaction(List.copyOf(preconditions), List.copyOf(writes));
        }
    }
}
