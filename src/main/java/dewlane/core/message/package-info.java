/**
 * What passes between the core and the sockets and timers round it: inputs, effects, and what the subsystems share
 * while one input is handled.
 *
 * <p>Guards the rule that the core reads no clock and does no I/O: everything it learns is an
 * {@link dewlane.core.message.Input}, everything it wants is an {@link dewlane.core.message.Effect}. May depend on
 * {@code config}, {@code model} and {@code schema}.
 */
package dewlane.core.message;
