/**
 * Connects a controller's core to the network and to timers. Everything runs on one I/O thread, so no locks are needed.
 */
package dewlane.io;
