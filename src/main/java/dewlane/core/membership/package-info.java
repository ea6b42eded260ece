/**
 * Membership of the controllers: which are alive, which partition each owns, which one leads, and what this controller
 * may do at the moment.
 *
 * <p>Owns this controller's lease and incarnation, the latest statuses of its peers, and the writing of the partition
 * map. Ensures that a controller that may have been superseded neither renews workers' leases nor makes decisions. May
 * depend on {@code job} and the packages below it.
 */
package dewlane.core.membership;
