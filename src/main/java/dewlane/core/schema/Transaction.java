package dewlane.core.schema;

import java.util.ArrayList;
import java.util.List;

/**
 * A conditional write, applied as a whole or not at all.
 *
 * @param preconditions all of them must hold
 * @param writes what is then done
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
     * @param lease the lease to whose life the key is attached; 0 for none
     */
    public record Write(String key, StoredValue value, long lease) {
        /** True if the key is attached to a lease. */
        public boolean hasLease() {
            return lease != NO_LEASE;
        }
    }

    /** How a transaction ended, as far as the store's answer tells. */
    public enum Status {
        /** All writes were applied. */
        COMMITTED,
        /** A precondition did not hold, and nothing was applied. */
        CONFLICT,
        /** Nothing was applied: the store does not accept such a transaction, whatever it holds. */
        INVALID,
        /** Nothing was applied: more writes or requests than the rate allows. */
        RATE_LIMITED,
        /** Nothing was applied: the store is unavailable, to all or to this controller. */
        UNAVAILABLE,
        /** There was no answer; the transaction may have been applied or may yet be. */
        UNKNOWN;

        /** True if sending the same transaction again cannot end otherwise. */
        public boolean isDefinite() {
            return this == COMMITTED || this == CONFLICT || this == INVALID;
        }
    }

    /** Collects the parts of a transaction. */
    public static final class Builder {
        private final List<Precondition> preconditions = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();

        /** Makes the transaction conditional on the version of a key; 0 if the key must not exist. */
        public Builder require(String key, long version) {
            Precondition precondition = new Precondition(key, version);
            if (!preconditions.contains(precondition)) {
                preconditions.add(precondition);
            }
            return this;
        }

        /** Writes a key. */
        public Builder put(String key, StoredValue value) {
            writes.add(new Write(key, value, NO_LEASE));
            return this;
        }

        /** Writes a key that is deleted when the lease expires. */
        public Builder putWithLease(String key, StoredValue value, long lease) {
            writes.add(new Write(key, value, lease));
            return this;
        }

        /** Deletes a key. */
        public Builder delete(String key) {
            writes.add(new Write(key, null, NO_LEASE));
            return this;
        }

        /** How many preconditions there are so far. */
        public int preconditionCount() {
            return preconditions.size();
        }

        /** How many writes there are so far. */
        public int writeCount() {
            return writes.size();
        }

        /** The transaction as it stands. */
        public Transaction build() {
            return new Transaction(List.copyOf(preconditions), List.copyOf(writes));
        }
    }
}
