package dewlane.core.store;

import dewlane.core.config.Settings;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Lets questions be answered from the replica without showing a state older than one that any controller has shown: a
 * request to the state service that was sent after a question came names a revision, and once the replica has reached
 * it, nothing that was told before the question is missing from it.
 *
 * <p>One request serves all questions that came before it was sent. A read for each used up the state service's request
 * rate when hundreds of jobs were asked about, until leases could not be renewed either and nothing ran.
 */
public final class ReadBarrier {
    /** The part of the state service's requests that all controllers' barriers together may take. */
    private static final double REQUEST_SHARE = 0.2;
    /** A question that waited for so long is answered as if the state service had not. */
    private static final long PATIENCE_MS = 4000;

    private record Question(long at, Runnable proceed, Runnable fail) {}

    /** Questions that may be answered once the replica has reached the revision. */
    private record Batch(long revision, List<Question> questions) {}

    private final ControllerContext context;
    private final StoreReplica replica;
    private final long pauseMs;
    /** Questions for which no request has been sent yet. */
    private List<Question> arrived = new ArrayList<>();
    /** Questions that the request under way is for. */
    private List<Question> asked = List.of();

    private final Deque<Batch> proven = new ArrayDeque<>();
    private boolean asking;
    private long askedAt = Long.MIN_VALUE / 2;

    public ReadBarrier(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
        Settings settings = context.settings();
        int controllers = settings.peers().size() + 1;
        this.pauseMs = Math.round(1000 * controllers / (settings.storeRequestsPerS() * REQUEST_SHARE));
    }

    /** Runs {@code proceed} once the replica holds all that is durable now, or {@code fail} if that cannot be known. */
    public void await(Runnable proceed, Runnable fail) {
        arrived.add(new Question(context.nowMs(), proceed, fail));
        sendRequest();
    }

    /** Takes the answer to the request under way. */
    public void onRevisionRead(Input.RevisionRead in) {
        asking = false;
        List<Question> batch = asked;
        asked = List.of();
        if (in.known()) {
            proven.add(new Batch(in.revision(), batch));
            onReplicaAdvanced();
        } else {
            batch.forEach(q -> q.fail().run());
        }
        sendRequest();
    }

    /** The replica has come further. */
    void onReplicaAdvanced() {
        while (!proven.isEmpty() && proven.peek().revision() <= replica.revision()) {
            proven.poll().questions().forEach(q -> q.proceed().run());
        }
    }

    /** Asks for what waits, and gives up on what has waited for too long. */
    public void tick() {
        while (!proven.isEmpty() && late(proven.peek().questions().get(0))) {
            proven.poll().questions().forEach(q -> q.fail().run());
        }
        sendRequest();
    }

    private boolean late(Question question) {
        return context.nowMs() - question.at() > PATIENCE_MS;
    }

    private void sendRequest() {
        if (!asking && !arrived.isEmpty() && context.nowMs() - askedAt >= pauseMs) {
            asking = true;
            askedAt = context.nowMs();
            asked = arrived;
            arrived = new ArrayList<>();
            context.emit(new Effect.ReadRevision());
        }
    }
}
