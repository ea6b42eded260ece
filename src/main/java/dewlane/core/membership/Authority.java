package dewlane.core.membership;

/**
 * What a controller may do at one instant, by its place in the map, by whom it reaches, and by the age of its view of
 * the state.
 *
 * @param member the map holds this start of the controller
 * @param superseded a peer has shown a newer map, which this controller should have read by now
 * @param isolated neither the state service nor a peer was reached for longer than the controller's own lease
 * @param reachesStore the state service answered lately
 * @param viewAllowsRenewal the view of cancellations is young enough to renew a worker's lease
 * @param viewAllowsLaunch the view of cancellations is young enough to start a task
 */
public record Authority(
        boolean member,
        boolean superseded,
        boolean isolated,
        boolean reachesStore,
        boolean viewAllowsRenewal,
        boolean viewAllowsLaunch) {
    /** The first thing that keeps a controller from doing all it is for. */
    enum Restriction {
        NOT_A_MEMBER("decides nothing: it is not in the map"),
        SUPERSEDED("answers no worker: a peer has a newer map"),
        ISOLATED("answers no worker: it reaches neither the state service nor a peer"),
        VIEW_EXPIRED("answers no worker: its view of cancellations is too old to renew a lease"),
        STORE_UNREACHABLE("keeps what runs and decides nothing new: the state service does not answer"),
        VIEW_STALE("keeps what runs and starts nothing: its view of cancellations is old"),
        NONE("serves in full");

        private final String description;

        Restriction(String meaning) {
            this.description = meaning;
        }

        /** What the controller does under the limit, and why, for the log. */
        String description() {
            return description;
        }
    }

    /** True if a worker's report may be answered, which renews the worker's lease. */
    public boolean mayRenewWorkerLeases() {
        return member && !superseded && !isolated && viewAllowsRenewal;
    }

    /** True if a launch that is recorded may be sent to its worker. */
    public boolean maySendLaunches() {
        return viewAllowsLaunch;
    }

    /** True if new decisions may be made, which are then written under conditions. */
    public boolean mayDecide() {
        return member && reachesStore;
    }

    /** The first of the limits that holds. */
    Restriction restriction() {
        if (!member) {
            return Restriction.NOT_A_MEMBER;
        } else if (superseded) {
            return Restriction.SUPERSEDED;
        } else if (isolated) {
            return Restriction.ISOLATED;
        } else if (!viewAllowsRenewal) {
            return Restriction.VIEW_EXPIRED;
        } else if (!reachesStore) {
            return Restriction.STORE_UNREACHABLE;
        }
        return viewAllowsLaunch ? Restriction.NONE : Restriction.VIEW_STALE;
    }
}
