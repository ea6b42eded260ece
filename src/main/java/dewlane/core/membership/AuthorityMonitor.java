package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.store.ReplicaFreshness;
import dewlane.core.store.StoreConnectivity;

/** Works out the controller's {@link Authority} at this instant, and logs its restriction whenever that changes. */
public final class AuthorityMonitor {
    private final ControllerContext context;
    private final Membership membership;
    private final StoreConnectivity store;
    private final ReplicaFreshness freshness;
    private Authority.Restriction logged = Authority.Restriction.NOT_A_MEMBER;

    /** A monitor that logs nothing until the first tick. */
    public AuthorityMonitor(
            ControllerContext context, Membership membership, StoreConnectivity store, ReplicaFreshness freshness) {
        this.context = context;
        this.membership = membership;
        this.store = store;
        this.freshness = freshness;
    }

    /** The authority at this instant. */
    public Authority current() {
        return new Authority(
                membership.isMember(),
                membership.isSuperseded(),
                membership.isIsolated(),
                store.isReachable(),
                freshness.allowsLeaseRenewal(),
                freshness.allowsLaunch());
    }

    /** Logs the restriction that holds if it is another than the one logged last. */
    public void tick() {
        Authority.Restriction restriction = current().restriction();
        if (restriction != logged) {
            logged = restriction;
            context.info("this controller " + restriction.description());
        }
    }
}
