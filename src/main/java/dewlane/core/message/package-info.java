/**
 * The interface between the core and the I/O layer: inputs, effects, and the context that the subsystems share while
 * one input is handled.
 *
 * <p>Enforces the rule that the core reads no clock and performs no I/O: all information enters it as an
 * {@link dewlane.core.message.Input}, and everything it asks for leaves it as an {@link dewlane.core.message.Effect}.
 * May depend on {@code config}, {@code model} and {@code schema}.
 */
package dewlane.core.message;
