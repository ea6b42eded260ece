package dewlane.core.membership;

import dewlane.core.job.CancellationTracker;
import dewlane.core.message.ControllerContext;

/** Tells the controller's {@link Authority} at this instant, and logs once a second whether its limit has changed. */
public final class AuthorityMonitor {
    private final ControllerContext context;
    private final Membership membership;
    private final CancellationTracker cancellations;
    private Authority.Restriction logged = Authority.Restriction.NOT_A_MEMBER;

    public AuthorityMonitor(ControllerContext context, Membership membership, CancellationTracker cancellations) {
        this.context = context;
        this.membership = membership;
        this.cancellations = cancellations;
    }

    public Authority current() {
        return new Authority(
                membership.isMember(),
                membership.isSuperseded(),
                membership.isIsolated(),
                membership.reachesStore(),
                cancellations.allowsLeaseRenewal(),
                cancellations.allowsLaunch());
    }

    public void tick() {
        Authority.Restriction limit = current().restriction();
        if (limit != logged) {
            logged = limit;
            context.info("this controller " + limit.description());
        }
    }
}
