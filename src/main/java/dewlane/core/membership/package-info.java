/**
 * Which controllers are alive, who owns which partition, who leads, and what this controller may do at this instant.
 *
 * <p>Owns this controller's lease and incarnation, what its peers last said, and the writing of the partition map.
 * Guards the rule that a controller which may have been superseded neither renews leases nor decides. May depend on
 * {@code job} and below.
 */
package dewlane.core.membership;
