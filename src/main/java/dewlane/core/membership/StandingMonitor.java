package dewlane.core.membership;

import dewlane.core.job.Cancellations;
import dewlane.core.message.Context;

/** Tells the controller's {@link Standing} at this instant, and logs once a second whether its limit has changed. */
public final class StandingMonitor {
    private final Context context;
    private final Membership membership;
    private final Cancellations cancellations;
    private Standing.Limit logged = Standing.Limit.NOT_JOINED;

    public StandingMonitor(Context context, Membership membership, Cancellations cancellations) {
        this.context = context;
        this.membership = membership;
        this.cancellations = cancellations;
    }

    public Standing now() {
        return new Standing(
                membership.joined(),
                membership.superseded(),
                membership.isolated(),
                membership.reachesState(),
                cancellations.mayRenewLeases(),
                cancellations.mayLaunch());
    }

    public void tick() {
        Standing.Limit limit = now().limit();
        if (limit != logged) {
            logged = limit;
            context.info("this controller " + limit.meaning());
        }
    }
}
