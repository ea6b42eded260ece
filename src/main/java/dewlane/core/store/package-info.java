/**
 * The controller's side of the store: a replica that follows the watch, linearizable reads, and the queue of
 * conditional writes.
 *
 * <p>Owns what this controller knows of the store, how old that may be, and what it has in flight there. Guards two
 * rules: nothing is decided on a state newer or older than the replica's revision says, and no user is shown a state
 * older than one that any controller has shown. May depend on {@code message} and below.
 */
package dewlane.core.store;
