package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.store.ReplicaFreshness;
import dewlane.core.store.StoreConnectivity;

/** Determines the controller's current {@link Authority}, and logs its restriction whenever that changes. */
public final class AuthorityMonitor {
    private final ControllerContext context;
    private final Membership membership;
    private final StoreConnectivity connectivity;
    private final ReplicaFreshness freshness;
    private Authority.Restriction lastLogged = Authority.Restriction.NOT_A_MEMBER;

    /** Creates a monitor, which logs nothing before the first tick. */
    public AuthorityMonitor(
            ControllerContext context,
            Membership membership,
            StoreConnectivity connectivity,
            ReplicaFreshness freshness) {
        this.context = context;
        this.membership = membership;
        this.connectivity = connectivity;
        this.freshness = freshness;
    }

    /** Returns the authority at this moment. */
    public Authority current() {
        return new Authority(
                membership.isMember(),
                membership.isSuperseded(),
                membership.isIsolated(),
                connectivity.isReachable(),
                freshness.allowsLeaseRenewal(),
                freshness.allowsLaunch());
    }

    /** Logs the current restriction if it differs from the one logged last. */
    public void tick() {
        Authority.Restriction restriction = current().restriction();
        if (restriction != lastLogged) {
            lastLogged = restriction;
            context.info("this controller " + restriction.description());
        }
    }
}
