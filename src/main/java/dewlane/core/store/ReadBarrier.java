package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Makes reads of the replica linearizable: a request to the store that was sent after a question arrived names a
 * revision, and once the replica has reached it, nothing that any controller had shown before the question is missing
 * from it.
 *
 * <p>One request serves all questions that arrived before it was sent. One for each would use up the store's request
 * rate when hundreds of jobs are asked about, until leases could not be renewed either.
 */
public final class ReadBarrier {
    /** The fraction of the store's request rate that all controllers' barriers together may take. */
    private static final double REQUEST_FRACTION = 0.2;
    /** A question that has waited for so long fails as if the store had not answered. */
    private static final long TIMEOUT_MS = 4000;

    /** What is to be run once the replica is known to be current, or if that cannot be known. */
    private record Question(long arrivedAtMs, Runnable onCurrent, Runnable onUnavailable) {}

    /** Questions that may be answered once the replica has reached the revision. */
    private record Batch(long revision, List<Question> questions) {}

    private final ControllerContext context;
    private final StoreReplica replica;
    private final long requestIntervalMs;
    /** Questions for which no request has been sent yet. */
    private List<Question> arrived = new ArrayList<>();
    /** Questions that the request in flight is for. */
    private List<Question> requested = List.of();
    /** Questions whose revision is known, in the order of the revisions. */
    private final Deque<Batch> batches = new ArrayDeque<>();

    private boolean requestInFlight;
    private long requestedAtMs = ControllerContext.NEVER_MS;

    /** A barrier in front of the replica, without questions. */
    public ReadBarrier(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
        this.requestIntervalMs = context.settings().storeRequestIntervalMs(REQUEST_FRACTION);
    }

    /**
     * Asks for the replica to be brought up to date.
     *
     * @param onCurrent run once the replica holds all that is durable now
     * @param onUnavailable run instead if that cannot be known
     */
    public void await(Runnable onCurrent, Runnable onUnavailable) {
        arrived.add(new Question(context.nowMs(), onCurrent, onUnavailable));
        sendRequest();
    }

    /** The store answered the request in flight. */
    public void onRevisionRead(Input.RevisionRead in) {
        batches.add(new Batch(in.revision(), takeRequested()));
        onReplicaAdvanced();
        sendRequest();
    }

    /** The store did not answer the request in flight. */
    public void onRevisionReadFailed() {
        takeRequested().forEach(question -> question.onUnavailable().run());
        sendRequest();
    }

    private List<Question> takeRequested() {
        requestInFlight = false;
        List<Question> taken = requested;
        requested = List.of();
        return taken;
    }

    /** The replica has reached a later revision. */
    void onReplicaAdvanced() {
        while (!batches.isEmpty() && batches.peek().revision() <= replica.revision()) {
            batches.poll().questions().forEach(question -> question.onCurrent().run());
        }
    }

    /** Sends a request for the questions that have arrived, and gives up on those that have waited too long. */
    public void tick() {
        while (!batches.isEmpty() && isLate(batches.peek())) {
            batches.poll().questions().forEach(question -> question.onUnavailable()
                    .run());
        }
        sendRequest();
    }

    /** The first question of a batch is its oldest. */
    private boolean isLate(Batch batch) {
        return context.nowMs() - batch.questions().get(0).arrivedAtMs() > TIMEOUT_MS;
    }

    private void sendRequest() {
        boolean isDue = context.nowMs() - requestedAtMs >= requestIntervalMs;
        if (!requestInFlight && !arrived.isEmpty() && isDue) {
            requestInFlight = true;
            requestedAtMs = context.nowMs();
            requested = arrived;
            arrived = new ArrayList<>();
            context.emit(new Effect.ReadRevision());
        }
    }
}
