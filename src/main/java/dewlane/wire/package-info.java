/**
 * The protocols as they stand on the wire, and the encoding of stored values.
 *
 * <p>The only place that knows their words: field names of the protocols are mapped to the types of
 * {@code dewlane.core} here, once in each direction.
 */
package dewlane.wire;
