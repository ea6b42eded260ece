package dewlane.core.schema;

import java.util.ArrayList;
import java.util.List;

/** A conditional write, applied as a whole or not at all. */
public record Transaction(List<Precondition> preconditions, List<Write> writes) {

    /** The key must have this version; 0: it must not exist. */
    public record Precondition(String key, long version) {}

    /** Sets the key, or deletes it if the value is null. A lease of 0 attaches it to none. */
    public record Write(String key, StoredValue value, long lease) {}

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

        /** Makes the transaction conditional on the version of a key; 0: the key does not exist. */
        public Builder require(String key, long version) {
            Precondition guard = new Precondition(key, version);
            if (!preconditions.contains(guard)) {
                preconditions.add(guard);
            }
            return this;
        }

        /** Writes a key. */
        public Builder put(String key, StoredValue value) {
            writes.add(new Write(key, value, 0));
            return this;
        }

        /** Writes a key that goes when the lease ends. */
        public Builder putWithLease(String key, StoredValue value, long lease) {
            writes.add(new Write(key, value, lease));
            return this;
        }

        /** Deletes a key. */
        public Builder delete(String key) {
            writes.add(new Write(key, null, 0));
            return this;
        }

        /** How many conditions there are so far. */
        public int preconditionCount() {
            return preconditions.size();
        }

        /** How many changes there are so far. */
        public int writeCount() {
            return writes.size();
        }

        /** The transaction as it stands. */
        public Transaction build() {
            return new Transaction(List.copyOf(preconditions), List.copyOf(writes));
        }
    }
}
