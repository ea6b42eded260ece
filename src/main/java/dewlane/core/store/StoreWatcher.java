package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;

/**
 * Keeps the replica up to date: lists the whole store once, then follows it by one watch after the other. A watch that
 * has fallen behind what the store still remembers leads to another listing.
 */
public final class StoreWatcher {
    /** Time between the starts of two listings. */
    private static final long LIST_RETRY_MS = 500;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final StoreConnectivity connectivity;
    private final ReplicaFreshness freshness;
    private final ReadBarrier barrier;
    private final ControllerCounters counters;
    private boolean listInFlight;
    private long listRequestedAtMs;
    /** When the watch in flight was requested: its answer shows everything that was durable by then. */
    private long watchRequestedAtMs;

    private boolean loaded;
    /** The revision from which on the replica is complete, see {@link #isCaughtUp()}. */
    private long completeAtRevision;

    /** Begins without a listing; the first is requested by a tick. */
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

    /** True if the store has been listed and is being watched. */
    public boolean isLoaded() {
        return loaded;
    }

    /** True if the replica holds all that was durable at some moment, and nothing of a later one. */
    public boolean isCaughtUp() {
        return loaded && replica.revision() >= completeAtRevision;
    }

    /** Requests a listing if the store is not being watched. */
    public void tick() {
        if (!loaded && !listInFlight && context.nowMs() - listRequestedAtMs > LIST_RETRY_MS) {
            listInFlight = true;
            listRequestedAtMs = context.nowMs();
            context.emit(new Effect.ListStore());
        }
    }

    /** The store was listed. */
    public void onListed(Input.StoreListed in) {
        connectivity.onContact();
        listInFlight = false;
        loaded = true;
        // Changes between the listing's first and last page are complete only once the watch has passed them.
        completeAtRevision = in.latestRevision();
        replica.load(in.rows(), in.revision());
        freshness.onRefreshed(listRequestedAtMs);
        barrier.onReplicaAdvanced();
        context.info("read " + replica.jobs().size() + " jobs from the store at revision " + in.revision());
        watch(in.revision());
    }

    /** The store could not be listed. */
    public void onListFailed() {
        listInFlight = false;
    }

    private void watch(long afterRevision) {
        watchRequestedAtMs = context.nowMs();
        context.emit(new Effect.Watch(afterRevision));
    }

    /**
     * A watch was answered.
     *
     * @return true if it brought changes
     */
    public boolean onEvents(Input.WatchEvents in) {
        if (!loaded) {
            return false;
        }
        connectivity.onContact();
        for (Input.KeyChange change : in.changes()) {
            replica.apply(change);
        }
        counters.add(Counter.CHANGES_SEEN, in.changes().size());
        logProgress(in);
        replica.advance(in.revision());
        barrier.onReplicaAdvanced();
        freshness.onRefreshed(watchRequestedAtMs);
        watch(in.revision());
        return !in.changes().isEmpty();
    }

    private void logProgress(Input.WatchEvents in) {
        if (context.isCommandLoggingEnabled() && !in.changes().isEmpty()) {
            context.debug("the replica is at revision " + in.revision() + ": "
                    + in.changes().size() + " changes, requested " + (context.nowMs() - watchRequestedAtMs)
                    + " ms ago");
        }
    }

    /** A watch ended without an answer. */
    public void onWatchFailed(Input.WatchFailed in) {
        if (in.revisionCompacted()) {
            context.info("the watch fell behind, listing the store again");
            loaded = false;
        } else if (loaded) {
            watch(replica.revision());
        }
    }
}
