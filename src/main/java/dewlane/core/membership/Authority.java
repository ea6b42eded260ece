package dewlane.core.membership;

/**
 * What a controller may do at one instant, given its place in the partition map, whom it reaches, and the age of its
 * view of the store.
 *
 * @param member the partition map holds this start of the controller
 * @param superseded a peer has shown a newer map, which this controller should have read by now
 * @param isolated neither the store nor a peer was reached for longer than the controller's own lease
 * @param storeReachable the store answered lately
 * @param replicaAllowsRenewal the view of cancellations is fresh enough to renew a worker's lease
 * @param replicaAllowsLaunch the view of cancellations is fresh enough to start a task
 */
public record Authority(
        boolean member,
        boolean superseded,
        boolean isolated,
        boolean storeReachable,
        boolean replicaAllowsRenewal,
        boolean replicaAllowsLaunch) {
    /** The first thing that keeps a controller from doing all it is for. */
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

        /** What the controller does under the restriction, and why, for the log. */
        String description() {
            return description;
        }
    }

    /** True if a worker's heartbeat may be answered, which renews the worker's lease. */
    public boolean mayRenewWorkerLeases() {
        return member && !superseded && !isolated && replicaAllowsRenewal;
    }

    /** True if a launch that is recorded may be sent to its worker. */
    public boolean maySendLaunches() {
        return replicaAllowsLaunch;
    }

    /** True if new decisions may be made, which are then written under preconditions. */
    public boolean mayDecide() {
        return member && storeReachable;
    }

    /** The first of the restrictions that holds. */
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
