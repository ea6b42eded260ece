/**
 * The controller's access to the store: a replica that is kept up to date by watches, linearizable reads, and the queue
 * of conditional writes.
 *
 * <p>Owns the replica, its age, and the requests to the store that are in flight. Ensures two rules: each decision is
 * made on the state as of the replica's revision, neither newer nor older; and no user is shown a state older than one
 * that any controller has shown. May depend on {@code message} and the packages below it.
 */
package dewlane.core.store;
