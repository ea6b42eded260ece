package dewlane.core.store;

import dewlane.core.job.CancellationTracker;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;

/** Keeps the replica up to date: reads the whole state once, then follows it by one watch after the other. */
public final class StoreWatcher {
    /** A listing that failed is tried again after so long. */
    private static final long LIST_AGAIN_MS = 500;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final Membership membership;
    private final CancellationTracker cancellations;
    private final ReadBarrier barrier;
    private final ControllerCounters counters;
    private boolean listing;
    private long listedAt;
    /** When the watch under way, or the listing before it, was asked for: its answer shows all that was by then. */
    private long watchedAt;

    private boolean loaded;
    private long loadedFrom;

    public StoreWatcher(
            ControllerContext context,
            StoreReplica replica,
            Membership membership,
            CancellationTracker cancellations,
            ReadBarrier barrier,
            ControllerCounters counters) {
        this.context = context;
        this.replica = replica;
        this.membership = membership;
        this.cancellations = cancellations;
        this.barrier = barrier;
        this.counters = counters;
    }

    /** True if the state has been read and is followed. */
    public boolean loaded() {
        return loaded;
    }

    /** True if the replica holds all that was durable at some moment, with nothing of a later one in between. */
    public boolean caughtUp() {
        return loaded && replica.revision() >= loadedFrom;
    }

    /** Asks for the whole state if it is not followed. */
    public void tick() {
        if (!loaded && !listing && context.now() - listedAt > LIST_AGAIN_MS) {
            listing = true;
            listedAt = context.now();
            context.emit(new Effect.ListStore());
        }
    }

    /** The whole state was read. */
    public void listed(Input.StoreListed in) {
        membership.contact();
        listing = false;
        loaded = true;
        // Changes between the listing's first and last page are only complete once the watch has passed them.
        loadedFrom = in.latest();
        replica.load(in.rows(), in.revision());
        cancellations.viewed(listedAt);
        barrier.advanced();
        context.info("read " + replica.jobs().size() + " jobs from the state service at revision " + in.revision());
        watch(in.revision());
    }

    /** The state could not be read. */
    public void listFailed() {
        listing = false;
    }

    private void watch(long since) {
        watchedAt = context.now();
        context.emit(new Effect.Watch(since));
    }

    /** A watch was answered; true if it brought changes. */
    public boolean changed(Input.WatchEvents in) {
        if (!loaded) {
            return false;
        }
        membership.contact();
        for (Input.KeyChange change : in.changes()) {
            replica.apply(change);
        }
        counters.changesSeen += in.changes().size();
        log(in);
        replica.advance(in.revision());
        barrier.advanced();
        cancellations.viewed(watchedAt);
        watch(in.revision());
        return !in.changes().isEmpty();
    }

    private void log(Input.WatchEvents in) {
        if (context.ordersLogged() && !in.changes().isEmpty()) {
            context.debug("the state is read up to revision " + in.revision() + ": "
                    + in.changes().size() + " changes, asked for " + (context.now() - watchedAt) + " ms ago");
        }
    }

    /** A watch ended without an answer. */
    public void watchFailed(Input.WatchFailed in) {
        if (in.tooOld()) {
            context.info("the watch fell behind, reading the state anew");
            loaded = false;
        } else if (loaded) {
            watch(replica.revision());
        }
    }
}
