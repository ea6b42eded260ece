/**
 * Encodes and decodes the messages of the protocols and the values in the store.
 *
 * <p>Only this package contains the field names of the protocols and of stored values. It maps them to the types of
 * {@code dewlane.core}, once in each direction.
 */
package dewlane.wire;
