/**
 * The protocol with the workers: heartbeats, commands, reconciliation of both with the replica, and failure detection.
 *
 * <p>Guards the rules that a lease is renewed only on a fresh view, and that an attempt is given up on proof, never on
 * silence. May depend on {@code fleet} and below, not on {@code scheduling}.
 */
package dewlane.core.worker;
