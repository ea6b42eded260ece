/**
 * The protocol with the workers: heartbeats, commands, the reconciliation of both with the replica, and failure
 * detection.
 *
 * <p>{@code HeartbeatHandler} takes heartbeats, {@code CommandDispatcher} sends commands, and {@code FailureDetector}
 * decommissions machines that are silent or faulty.
 *
 * <p>Guards the rules that a worker's lease is renewed only on a fresh view, and that an attempt is given up on proof,
 * never on silence. May depend on {@code fleet} and below, not on {@code scheduling}.
 */
package dewlane.core.worker;
