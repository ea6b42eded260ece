/**
 * One controller: {@link dewlane.core.controller.Controller} takes inputs one at a time, the {@code ...Inputs} classes
 * pass them on to the subsystems, a class for each source, and the {@code ...Assembly} classes build the subsystems and
 * connect them.
 *
 * <p>Guards the order in which the subsystems act: handlers of an input first, then a scheduling cycle if one is due.
 * On top of all other packages of the core.
 */
package dewlane.core.controller;
