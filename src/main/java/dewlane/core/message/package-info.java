/**
 * What passes between the core and the sockets and timers round it: inputs, effects, and the time of the message at
 * hand.
 *
 * <p>The core reads no clock and does no I/O; everything it learns is an {@link dewlane.core.message.Input}, everything
 * it wants is an {@link dewlane.core.message.Effect}. May depend on {@code config}, {@code model} and {@code schema}.
 */
package dewlane.core.message;
