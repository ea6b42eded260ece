/**
 * What is kept in the store: keys, values, and the transactions that change them; and the division of machines and keys
 * into partitions, which follows from the partition map alone.
 *
 * <p>Owns no state. Guards the rule that values are never changed in place. How they are encoded is the business of
 * {@code dewlane.wire}. May depend on {@code config} and {@code model}.
 */
package dewlane.core.schema;
