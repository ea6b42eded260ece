package dewlane.core.schema;

import java.util.ArrayList;
import java.util.List;

/** A conditional write, applied as a whole or not at all. */
public record Transaction(List<Precondition> preconditions, List<Write> writes) {

    /** The key must have this version; 0: it must not exist. */
    public record Precondition(String key, long version) {}

    /** Sets the key, or deletes it if the value is null. A lease of 0 attaches it to none. */
    public record Write(String key, StoredValue value, long lease) {}

    /** What the state service said, as far as it said anything. */
    public enum Status {
        COMMITTED,
        CONFLICT,
        INVALID,
        /** Not executed: more changes or requests than the rate allows. */
        RATE_LIMITED,
        /** Not executed: the state service is out, for all or for this controller. */
        UNAVAILABLE,
        UNKNOWN
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
