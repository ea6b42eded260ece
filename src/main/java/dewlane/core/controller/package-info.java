/**
 * One controller: dispatches inputs to the subsystems and tells the peers about itself.
 *
 * <p>On top of all other packages of the core.
 */
package dewlane.core.controller;
