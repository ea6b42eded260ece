package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;

/** This controller's lease in the store, which is requested until it is granted and then renewed until it expires. */
final class MemberLease {
    /** The id while no lease is held. */
    static final long NONE = 0;

    /** A request for a lease that has not been answered is repeated after this time. */
    private static final long GRANT_TIMEOUT_MS = 3000;
    /** A renewal that has not been answered is repeated after this time. */
    private static final long RENEWAL_TIMEOUT_MS = 1500;
    /** Renewals within the lifetime of a lease, so that the lease survives if several of them are lost. */
    private static final int RENEWALS_PER_TTL = 4;

    private final ControllerContext context;
    private final long ttlMs;
    private long id = NONE;
    private boolean grantInFlight;
    private long grantRequestedAtMs;
    private boolean renewalInFlight;
    /** When the lease was granted or its latest renewal was requested, in monotonic time. */
    private long lastRenewalMs;

    MemberLease(ControllerContext context) {
        this.context = context;
        this.ttlMs = context.settings().tuning().memberLeaseTtlMs();
    }

    /** Returns the lease's id, or {@link #NONE}. */
    long id() {
        return id;
    }

    /** Returns true if a lease was granted and its expiry was not observed. */
    boolean isHeld() {
        return id != NONE;
    }

    /** Called when the store has granted a lease. */
    void onGranted(long grantedId) {
        grantInFlight = false;
        id = grantedId;
        lastRenewalMs = context.nowMs();
    }

    /** Called when a request for a lease has failed, so that another one may be sent. */
    void onGrantFailed() {
        grantInFlight = false;
    }

    /**
     * Called when a renewal has been answered or has failed.
     *
     * @return true if the lease has expired, so that it is no longer held
     */
    boolean onRenewal(Input.LeaseRenewalCompleted renewal) {
        renewalInFlight = false;
        if (renewal.lease() != id || renewal.status() != Input.RenewalStatus.EXPIRED) {
            return false;
        }
        onExpired();
        return true;
    }

    /** Called when an answer of the store shows that the lease has expired. */
    void onExpired() {
        id = NONE;
    }

    /** Requests a lease, or a renewal of the one that is held, if one is due. */
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
        long sinceRenewalMs = context.nowMs() - lastRenewalMs;
        boolean isDue = sinceRenewalMs >= ttlMs / RENEWALS_PER_TTL;
        if (isDue && (!renewalInFlight || sinceRenewalMs > RENEWAL_TIMEOUT_MS)) {
            renewalInFlight = true;
            lastRenewalMs = context.nowMs();
            context.emit(new Effect.RenewLease(id));
        }
    }
}
