package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;

/**
 * Keeps the replica up to date: lists the store once, then sends one watch after another. If the store no longer has
 * the revisions that follow the replica's, it is listed again.
 */
public final class StoreWatcher {
    /** The shortest time between the starts of two listings. */
    private static final long LIST_RETRY_MS = 500;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final StoreConnectivity connectivity;
    private final ReplicaFreshness freshness;
    private final ReadBarrier barrier;
    private final ControllerCounters counters;
    private boolean listInFlight;
    private long listRequestedAtMs;
    /** When the watch in flight was requested; its answer includes everything that was durable at that time. */
    private long watchRequestedAtMs;

    private boolean loaded;
    /** The revision that the replica must have reached to be consistent, see {@link #isCaughtUp()}. */
    private long consistentFromRevision;

    /** Creates a watcher; its first tick requests a listing. */
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

    /** Returns true if the store has been listed and is being watched. */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Returns true if the replica is a consistent snapshot: it contains everything that was durable at one moment, and
     * nothing later.
     */
    public boolean isCaughtUp() {
        return loaded && replica.revision() >= consistentFromRevision;
    }

    /** Requests a listing if the store is not being watched. */
    public void tick() {
        if (!loaded && !listInFlight && context.nowMs() - listRequestedAtMs > LIST_RETRY_MS) {
            listInFlight = true;
            listRequestedAtMs = context.nowMs();
            context.emit(new Effect.ListStore());
        }
    }

    /** Called when the store has been listed. */
    public void onListed(Input.StoreListed in) {
        connectivity.onContact();
        listInFlight = false;
        loaded = true;
        // Later pages of the listing may include changes that earlier pages lack. The replica is consistent once the
        // watch has reached the last page's revision.
        consistentFromRevision = in.latestRevision();
        replica.load(in.rows(), in.revision());
        freshness.onRefreshed(listRequestedAtMs);
        barrier.onReplicaAdvanced();
        context.info("read " + replica.jobs().size() + " jobs from the store at revision " + in.revision());
        watch(in.revision());
    }

    /** Called when the listing has failed. */
    public void onListFailed() {
        listInFlight = false;
    }

    private void watch(long afterRevision) {
        watchRequestedAtMs = context.nowMs();
        context.emit(new Effect.Watch(afterRevision));
    }

    /**
     * Called when a watch has been answered.
     *
     * @return true if the answer contained changes
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

    /** Called when a watch has ended without an answer. */
    public void onWatchFailed(Input.WatchFailed in) {
        if (in.revisionCompacted()) {
            context.info("the watch fell behind, listing the store again");
            loaded = false;
        } else if (loaded) {
            watch(replica.revision());
        }
    }
}
