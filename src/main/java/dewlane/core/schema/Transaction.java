package dewlane.core.schema;

import java.util.ArrayList;
import java.util.List;

/** A conditional write, applied as a whole or not at all. */
public record Transaction(List<Precondition> when, List<Write> apply) {

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
        OVER_RATE,
        /** Not executed: the state service is out, for all or for this controller. */
        REFUSED,
        UNKNOWN
    }

    /** Collects the parts of a transaction. */
    public static final class Builder {
        private final List<Precondition> when = new ArrayList<>();
        private final List<Write> apply = new ArrayList<>();

        /** Makes the transaction conditional on the version of a key; 0: the key does not exist. */
        public Builder when(String key, long version) {
            Precondition guard = new Precondition(key, version);
            if (!when.contains(guard)) {
                when.add(guard);
            }
            return this;
        }

        /** Writes a key. */
        public Builder set(String key, StoredValue value) {
            apply.add(new Write(key, value, 0));
            return this;
        }

        /** Writes a key that goes when the lease ends. */
        public Builder setLeased(String key, StoredValue value, long lease) {
            apply.add(new Write(key, value, lease));
            return this;
        }

        /** Deletes a key. */
        public Builder delete(String key) {
            apply.add(new Write(key, null, 0));
            return this;
        }

        /** How many conditions there are so far. */
        public int guards() {
            return when.size();
        }

        /** How many changes there are so far. */
        public int writes() {
            return apply.size();
        }

        /** The transaction as it stands. */
        public Transaction build() {
            return new Transaction(List.copyOf(when), List.copyOf(apply));
        }
    }
}
