/**
 * The core of one controller. {@link dewlane.core.controller.Controller} takes inputs one at a time, one
 * {@code ...InputHandlers} class per source passes them on to the subsystems, and the {@code ...Assembly} classes build
 * the subsystems and connect them.
 *
 * <p>Defines the order in which the subsystems run: first the handlers of an input, then a scheduling cycle if one is
 * due. May depend on all other packages of the core.
 */
package dewlane.core.controller;
