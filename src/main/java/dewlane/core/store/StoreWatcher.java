package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;

/** Keeps the replica up to date: reads the whole state once, then follows it by one watch after the other. */
public final class StoreWatcher {
    /** A listing that failed is tried again after so long. */
    private static final long LIST_AGAIN_MS = 500;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final StoreConnectivity connectivity;
    private final ReplicaFreshness freshness;
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
            StoreConnectivity connectivity,
            ReplicaFreshness freshness,
            ReadBarrier barrier,
            ControllerCounters counters) {
        this.context = context;
        this.replica = replica;
        this.connectivity = connectivity;
        this.freshness = freshness;
        this.barrier = barrier;
        this.counters = counters;
    }

    /** True if the state has been read and is followed. */
    public boolean isLoaded() {
        return loaded;
    }

    /** True if the replica holds all that was durable at some moment, with nothing of a later one in between. */
    public boolean isCaughtUp() {
        return loaded && replica.revision() >= loadedFrom;
    }

    /** Asks for the whole state if it is not followed. */
    public void tick() {
        if (!loaded && !listing && context.nowMs() - listedAt > LIST_AGAIN_MS) {
            listing = true;
            listedAt = context.nowMs();
            context.emit(new Effect.ListStore());
        }
    }

    /** The whole state was read. */
    public void onListed(Input.StoreListed in) {
        connectivity.onContact();
        listing = false;
        loaded = true;
        // Changes between the listing's first and last page are only complete once the watch has passed them.
        loadedFrom = in.latestRevision();
        replica.load(in.rows(), in.revision());
        freshness.onRefreshed(listedAt);
        barrier.onReplicaAdvanced();
        context.info("read " + replica.jobs().size() + " jobs from the state service at revision " + in.revision());
        watch(in.revision());
    }

    /** The state could not be read. */
    public void onListFailed() {
        listing = false;
    }

    private void watch(long since) {
        watchedAt = context.nowMs();
        context.emit(new Effect.Watch(since));
    }

    /** A watch was answered; true if it brought changes. */
    public boolean onEvents(Input.WatchEvents in) {
        if (!loaded) {
            return false;
        }
        connectivity.onContact();
        for (Input.KeyChange change : in.changes()) {
            replica.apply(change);
        }
        counters.add(Counter.CHANGES_SEEN, in.changes().size());
        log(in);
        replica.advance(in.revision());
        barrier.onReplicaAdvanced();
        freshness.onRefreshed(watchedAt);
        watch(in.revision());
        return !in.changes().isEmpty();
    }

    private void log(Input.WatchEvents in) {
        if (context.logsCommands() && !in.changes().isEmpty()) {
            context.debug("the state is read up to revision " + in.revision() + ": "
                    + in.changes().size() + " changes, asked for " + (context.nowMs() - watchedAt) + " ms ago");
        }
    }

    /** A watch ended without an answer. */
    public void onWatchFailed(Input.WatchFailed in) {
        if (in.revisionCompacted()) {
            context.info("the watch fell behind, reading the state anew");
            loaded = false;
        } else if (loaded) {
            watch(replica.revision());
        }
    }
}
