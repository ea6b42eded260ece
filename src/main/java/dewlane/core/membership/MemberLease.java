package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;

/** This controller's lease in the store: asked for until it is granted, then renewed until it expires. */
final class MemberLease {
    /** The id that stands for no lease. */
    static final long NONE = 0;

    /** A request for a lease without an answer is repeated after so long. */
    private static final long GRANT_TIMEOUT_MS = 3000;
    /** A renewal without an answer is repeated after so long. */
    private static final long RENEWAL_TIMEOUT_MS = 1500;
    /** Renewals in the time for which a lease is granted, so that several may be lost. */
    private static final int RENEWALS_PER_TTL = 4;

    private final ControllerContext context;
    private final long ttlMs;
    private long id = NONE;
    private boolean grantInFlight;
    private long grantRequestedAtMs;
    private boolean renewalInFlight;
    private long renewedAtMs;

    MemberLease(ControllerContext context) {
        this.context = context;
        this.ttlMs = context.settings().tuning().memberLeaseTtlMs();
    }

    /** The lease's id, or {@link #NONE}. */
    long id() {
        return id;
    }

    /** True if a lease was granted and is not known to have expired. */
    boolean isHeld() {
        return id != NONE;
    }

    /** The store granted a lease. */
    void onGranted(long grantedId) {
        grantInFlight = false;
        id = grantedId;
        renewedAtMs = context.nowMs();
    }

    /** The store granted no lease, so another request may be sent. */
    void onGrantFailed() {
        grantInFlight = false;
    }

    /**
     * The store answered a renewal, or did not.
     *
     * @return true if the lease turned out to have expired, and is held no longer
     */
    boolean onRenewal(Input.LeaseRenewalCompleted renewal) {
        renewalInFlight = false;
        if (renewal.lease() != id || renewal.status() != Input.RenewalStatus.EXPIRED) {
            return false;
        }
        drop();
        return true;
    }

    /** The lease is known to have expired. */
    void drop() {
        id = NONE;
    }

    /** Asks for a lease, or for a renewal of the one that is held, if it is time. */
    void tick() {
        if (!isHeld()) {
            requestGrant();
        } else {
            requestRenewal();
        }
    }

    private void requestGrant() {
        if (!grantInFlight || context.nowMs() - grantRequestedAtMs > GRANT_TIMEOUT_MS) {
            grantInFlight = true;
            grantRequestedAtMs = context.nowMs();
            context.emit(new Effect.GrantLease(ttlMs));
        }
    }

    private void requestRenewal() {
        long sinceRenewalMs = context.nowMs() - renewedAtMs;
        boolean isDue = sinceRenewalMs >= ttlMs / RENEWALS_PER_TTL;
        if (isDue && (!renewalInFlight || sinceRenewalMs > RENEWAL_TIMEOUT_MS)) {
            renewalInFlight = true;
            renewedAtMs = context.nowMs();
            context.emit(new Effect.RenewLease(id));
        }
    }
}
