package dewlane.core.membership;

/**
 * Determines what a controller may do at one moment, from its membership, its connections and the age of its replica.
 *
 * @param member the controller has joined the partition map since it started, and has not been evicted
 * @param superseded a peer has a newer partition map, which this controller should have read by now
 * @param isolated neither the store nor a peer has been reached for longer than the lifetime of the controller's lease
 * @param storeReachable the store has answered within the last seconds
 * @param replicaAllowsRenewal the replica, which may lack recent cancellations, is fresh enough to renew workers'
 *     leases
 * @param replicaAllowsLaunch the replica, which may lack recent cancellations, is fresh enough to send launches
 */
public record Authority(
        boolean member,
        boolean superseded,
        boolean isolated,
        boolean storeReachable,
        boolean replicaAllowsRenewal,
        boolean replicaAllowsLaunch) {
    /** The restrictions on what a controller may do. If several apply, the first constant counts. */
    enum Restriction {
        NOT_A_MEMBER("decides nothing: it is not in the partition map"),
        SUPERSEDED("answers no worker: a peer has a newer partition map"),
        ISOLATED("answers no worker: it reaches neither the store nor a peer"),
        REPLICA_TOO_OLD("answers no worker: its view of cancellations is too old to renew a lease"),
        STORE_UNREACHABLE("keeps what runs and decides nothing new: the store does not answer"),
        REPLICA_STALE("keeps what runs and launches nothing: its view of cancellations is old"),
        NONE("serves in full");

        private final String description;

        Restriction(String description) {
            this.description = description;
        }

        /** Returns what the controller does under the restriction, and why, for the log. */
        String description() {
            return description;
        }
    }

    /** Returns true if workers' heartbeats may be answered, which renews the workers' leases. */
    public boolean mayRenewWorkerLeases() {
        return member && !superseded && !isolated && replicaAllowsRenewal;
    }

    /** Returns true if a launch that is recorded in the store may be sent to its worker. */
    public boolean maySendLaunches() {
        return replicaAllowsLaunch;
    }

    /** Returns true if new decisions may be made; they are then written with preconditions. */
    public boolean mayDecide() {
        return member && storeReachable;
    }

    /** Returns the first restriction that applies. */
    Restriction restriction() {
        if (!member) {
            return Restriction.NOT_A_MEMBER;
        } else if (superseded) {
            return Restriction.SUPERSEDED;
        } else if (isolated) {
            return Restriction.ISOLATED;
        } else if (!replicaAllowsRenewal) {
            return Restriction.REPLICA_TOO_OLD;
        } else if (!storeReachable) {
            return Restriction.STORE_UNREACHABLE;
        }
        return replicaAllowsLaunch ? Restriction.NONE : Restriction.REPLICA_STALE;
    }
}
