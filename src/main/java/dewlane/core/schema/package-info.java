/**
 * What is kept in the store: keys, values, and the transactions that change them.
 *
 * <p>Values are never changed in place. How they are encoded is the business of {@code dewlane.wire}. May depend on
 * {@code config} and {@code model}.
 */
package dewlane.core.schema;
