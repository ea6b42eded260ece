package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.message.Effect;
import dewlane.core.message.FailureIsolation;
import dewlane.core.message.Input;

/**
 * Keeps the replica up to date: lists the store once, then sends one watch after another. If the store no longer has
 * the revisions that follow the replica's, it is listed again.
 */
public final class StoreWatcher {
    /**
     * The number of ticks after which an unanswered watch is given up. Ticks are counted instead of milliseconds, so
     * that a pause of the process, during which no answer could be read, does not count.
     */
    private static final int MAX_TICKS_PER_WATCH = 100;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final StoreConnectivity connectivity;
    private final ReplicaFreshness freshness;
    private final ReadBarrier barrier;
    private final ControllerCounters counters;
    private final ListingSchedule listings;
    private final ListedRows listedRows;
    /** When the watch in flight was requested; its answer includes everything that was durable at that time. */
    private long watchRequestedAtMs;

    /** The id of the watch in flight, or of the last one. Answers to earlier watches are ignored. */
    private long watchId;

    private int ticksSinceWatch;
    /** False from the start of an update of the replica until its end, and so after a failed one. */
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
        this.listings = new ListingSchedule(context);
        this.listedRows = new ListedRows(replica);
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

    /** Requests a listing if the store is not being watched, or if the watch was never answered. */
    public void tick() {
        ticksSinceWatch++;
        if (loaded && ticksSinceWatch > MAX_TICKS_PER_WATCH) {
            context.info("the watch has not been answered, listing the store again");
            loaded = false;
        }
        if (!loaded && listings.isDue()) {
            listings.onRequested();
            listedRows.clear();
            context.emit(new Effect.ListStore());
        }
    }

    /** Called when a page of the listing has been read, but not the last one. */
    public void onPageListed(Input.StorePageListed in) {
        connectivity.onContact();
        listedRows.add(in.rows());
    }

    /** Called when the store has been listed. */
    public void onListed(Input.StoreListed in) {
        connectivity.onContact();
        listings.onEnded();
        listedRows.add(in.rows());
        if (!listedRows.isComplete()) {
            context.info("a page of the listing was lost, listing the store again");
            return;
        }
        loaded = false;
        // Later pages of the listing may include changes that earlier pages lack. The replica is consistent once the
        // watch has reached the last page's revision.
        consistentFromRevision = in.latestRevision();
        try {
            replica.clear();
            loaded = true;
            replica.load(listedRows.take(), in.revision());
            freshness.onRefreshed(listings.requestedAtMs());
            barrier.onReplicaAdvanced();
            context.info("read " + replica.jobs().size() + " jobs from the store at revision " + in.revision());
        } finally {
            watchOrListAgain(in.revision());
        }
    }

    /** Requests the next watch, or a listing if the update of the replica has failed, as it may lack a change. */
    private void watchOrListAgain(long revision) {
        if (loaded) {
            watch(revision);
        } else {
            long pauseMs = listings.onUpdateFailed();
            context.info("the replica could not be updated, listing the store again in " + pauseMs + " ms");
        }
    }

    /** Called when the listing has failed. */
    public void onListFailed() {
        listings.onEnded();
        listedRows.clear();
    }

    private void watch(long afterRevision) {
        watchId++;
        ticksSinceWatch = 0;
        watchRequestedAtMs = context.nowMs();
        context.emit(new Effect.Watch(watchId, afterRevision));
    }

    /**
     * Called when a watch has been answered.
     *
     * @return true if the answer contained changes
     */
    public boolean onEvents(Input.WatchEvents in) {
        if (!loaded || in.watch() != watchId) {
            return false;
        }
        connectivity.onContact();
        loaded = false;
        try {
            applyChanges(in);
            loaded = true;
            freshness.onRefreshed(watchRequestedAtMs);
            barrier.onReplicaAdvanced();
        } finally {
            watchOrListAgain(in.revision());
        }
        return !in.changes().isEmpty();
    }

    private void applyChanges(Input.WatchEvents in) {
        FailureIsolation.forEach(in.changes(), replica::apply);
        counters.add(Counter.CHANGES_SEEN, in.changes().size());
        logProgress(in);
        replica.advance(in.revision());
        if (!in.changes().isEmpty()) {
            listings.onChangesApplied();
        }
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
        if (in.watch() != watchId) {
            return;
        }
        if (in.revisionCompacted()) {
            context.info("the watch fell behind, listing the store again");
            loaded = false;
        } else if (loaded) {
            watch(replica.revision());
        }
    }
}
