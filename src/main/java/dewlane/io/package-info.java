/** Sockets and timers round one controller's core. Everything runs on one I/O thread, so nothing is locked. */
package dewlane.io;
