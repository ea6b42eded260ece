package dewlane.core.membership;

/**
 * What a controller may do at one instant, by its place in the map, by whom it reaches, and by the age of its view of
 * the state.
 *
 * @param joined the map holds this start of the controller
 * @param superseded a peer has shown a newer map, which this controller should have read by now
 * @param isolated neither the state service nor a peer was reached for longer than the controller's own lease
 * @param reachesState the state service answered lately
 * @param viewRenewsLeases the view of cancellations is young enough to renew a worker's lease
 * @param viewLaunches the view of cancellations is young enough to start a task
 */
public record Authority(
        boolean joined,
        boolean superseded,
        boolean isolated,
        boolean reachesState,
        boolean viewRenewsLeases,
        boolean viewLaunches) {
    /** The first thing that keeps a controller from doing all it is for. */
    enum Restriction {
        NOT_JOINED("decides nothing: it is not in the map"),
        SUPERSEDED("answers no worker: a peer has a newer map"),
        ISOLATED("answers no worker: it reaches neither the state service nor a peer"),
        VIEW_EXPIRED("answers no worker: its view of cancellations is too old to renew a lease"),
        STATE_OUT_OF_REACH("keeps what runs and decides nothing new: the state service does not answer"),
        VIEW_OLD("keeps what runs and starts nothing: its view of cancellations is old"),
        NONE("serves in full");

        private final String meaning;

        Restriction(String meaning) {
            this.meaning = meaning;
        }

        /** What the controller does under the limit, and why, for the log. */
        String meaning() {
            return meaning;
        }
    }

    /** True if a worker's report may be answered, which renews the worker's lease. */
    public boolean mayAnswerWorkers() {
        return joined && !superseded && !isolated && viewRenewsLeases;
    }

    /** True if a launch that is recorded may be sent to its worker. */
    public boolean maySendLaunches() {
        return viewLaunches;
    }

    /** True if new decisions may be made, which are then written under conditions. */
    public boolean mayDecide() {
        return joined && reachesState;
    }

    /** The first of the limits that holds. */
    Restriction limit() {
        if (!joined) {
            return Restriction.NOT_JOINED;
        } else if (superseded) {
            return Restriction.SUPERSEDED;
        } else if (isolated) {
            return Restriction.ISOLATED;
        } else if (!viewRenewsLeases) {
            return Restriction.VIEW_EXPIRED;
        } else if (!reachesState) {
            return Restriction.STATE_OUT_OF_REACH;
        }
        return viewLaunches ? Restriction.NONE : Restriction.VIEW_OLD;
    }
}
