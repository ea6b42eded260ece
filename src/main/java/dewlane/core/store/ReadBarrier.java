package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.message.FailureIsolation;
import dewlane.core.message.Input;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Makes reads of the replica linearizable. After a read arrives, the store is asked for its latest revision. Once the
 * replica has reached that revision, it contains everything that any controller had shown to users before the read.
 *
 * <p>One request to the store serves all reads that arrived before it was sent. With one request for each read, queries
 * about hundreds of jobs would use up the store's request rate, and leases could not be renewed either.
 */
public final class ReadBarrier {
    /** The fraction of the store's request rate that the barriers of all controllers together may use. */
    private static final double REQUEST_FRACTION = 0.2;
    /**
     * A read fails as if the store had not answered if the replica has not reached its revision within this time of its
     * arrival.
     */
    static final long TIMEOUT_MS = 4000;

    /**
     * A read that waits for the replica, with the actions to run once the replica is current or if it cannot be
     * determined whether it is.
     */
    private record PendingRead(long arrivedAtMs, Runnable onCurrent, Runnable onUnavailable) {}

    /** Reads that are answered once the replica has reached the revision. */
    private record Batch(long revision, List<PendingRead> reads) {}

    private final ControllerContext context;
    private final StoreReplica replica;
    private final long requestIntervalMs;
    /** Reads for which no request has been sent yet. */
    private List<PendingRead> unrequested = new ArrayList<>();
    /** Reads that the request in flight serves. */
    private List<PendingRead> requested = List.of();
    /** Reads whose revision has been read from the store, in the order of the revisions. */
    private final Deque<Batch> awaitingReplica = new ArrayDeque<>();

    private boolean requestInFlight;
    private long requestedAtMs = ControllerContext.NEVER_MS;

    /** Creates a barrier for reads of the replica. */
    public ReadBarrier(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
        this.requestIntervalMs = context.settings().storeRequestIntervalMs(REQUEST_FRACTION);
    }

    /**
     * Waits until the replica contains everything that is in the store now.
     *
     * @param onCurrent run once it does
     * @param onUnavailable run instead if the store or the watch does not answer in time
     */
    public void await(Runnable onCurrent, Runnable onUnavailable) {
        unrequested.add(new PendingRead(context.nowMs(), onCurrent, onUnavailable));
        sendRequest();
    }

    /** Called when the store has answered the request in flight. */
    public void onRevisionRead(Input.RevisionRead in) {
        awaitingReplica.add(new Batch(in.revision(), takeRequested()));
        onReplicaAdvanced();
        sendRequest();
    }

    /** Called when the request in flight has failed. */
    public void onRevisionReadFailed() {
        FailureIsolation.forEach(takeRequested(), read -> read.onUnavailable().run());
        sendRequest();
    }

    private List<PendingRead> takeRequested() {
        requestInFlight = false;
        List<PendingRead> reads = requested;
        requested = List.of();
        return reads;
    }

    /** Called when the replica has reached a later revision. */
    void onReplicaAdvanced() {
        while (!awaitingReplica.isEmpty() && awaitingReplica.peek().revision() <= replica.revision()) {
            FailureIsolation.forEach(
                    awaitingReplica.poll().reads(), read -> read.onCurrent().run());
        }
    }

    /** Sends a request for the reads that have arrived if one is due, and fails those that timed out. */
    public void tick() {
        while (!awaitingReplica.isEmpty() && hasTimedOut(awaitingReplica.peek())) {
            FailureIsolation.forEach(
                    awaitingReplica.poll().reads(), read -> read.onUnavailable().run());
        }
        sendRequest();
    }

    /** Returns true if the oldest read of the batch, which is the first, has timed out. */
    private boolean hasTimedOut(Batch batch) {
        return context.nowMs() - batch.reads().get(0).arrivedAtMs() > TIMEOUT_MS;
    }

    private void sendRequest() {
        boolean isDue = context.nowMs() - requestedAtMs >= requestIntervalMs;
        if (!requestInFlight && !unrequested.isEmpty() && isDue) {
            requestInFlight = true;
            requestedAtMs = context.nowMs();
            requested = unrequested;
            unrequested = new ArrayList<>();
            context.emit(new Effect.ReadRevision());
        }
    }
}
