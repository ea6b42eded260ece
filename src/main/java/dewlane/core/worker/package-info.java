/**
 * The protocol with the workers: heartbeats, commands, the reconciliation of both with the replica, and failure
 * detection.
 *
 * <p>{@code HeartbeatHandler} receives heartbeats, {@code CommandDispatcher} sends commands, and
 * {@code FailureDetector} decommissions machines that are unresponsive or faulty.
 *
 * <p>This package ensures that a worker's lease is renewed only while the replica is fresh, and that an attempt is
 * recorded as ended only on proof, never because its machine is unresponsive. It may depend on {@code fleet} and the
 * packages below it, not on {@code scheduling}.
 */
package dewlane.core.worker;
