/**
 * The data model of the store: keys, values, and the transactions that change them; also the assignment of machines and
 * keys to partitions, which depends on the partition map alone.
 *
 * <p>Has no state. Values are immutable. {@code dewlane.wire} encodes them. May depend on {@code config} and
 * {@code model}.
 */
package dewlane.core.schema;
