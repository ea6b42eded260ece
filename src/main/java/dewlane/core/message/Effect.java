package dewlane.core.message;

import dewlane.core.model.PeerStatus;
import dewlane.core.model.WorkerCommand;
import dewlane.core.schema.Transaction;
import java.util.List;

/** What the core wants done by the sockets and timers round it. */
public sealed interface Effect {

    /** Read the whole state. */
    record ListStore() implements Effect {}

    /** Wait for changes after the revision. */
    record Watch(long afterRevision) implements Effect {}

    /** Send a transaction. */
    record CommitTransaction(long id, Transaction transaction) implements Effect {}

    /** Ask for a lease. */
    record GrantLease(long ttlMs) implements Effect {}

    /** Renew a lease. */
    record RenewLease(long lease) implements Effect {}

    /** Read one key. */
    record ReadValue(long id, String key) implements Effect {}

    /** Ask for the revision of the state service's latest change. */
    record ReadRevision() implements Effect {}

    /** Answer a worker's report, which renews its lease. */
    record AnswerHeartbeat(long id, long fencingToken, List<WorkerCommand> commands) implements Effect {}

    /** The worker should report to {@code node}, or to any other if null. */
    record RedirectHeartbeat(long id, String controller) implements Effect {}

    /** Send a worker to the next controller. */
    record RejectHeartbeat(long id) implements Effect {}

    /** Send commands straight to a worker. */
    record SendCommands(
            String machine, String address, long incarnation, long fencingToken, List<WorkerCommand> commands)
            implements Effect {}

    /**
     * Answers a user.
     *
     * @param job null unless the status is 200 or 201
     * @param retryAfterS when to come back, if the status is 503
     */
    record AnswerUser(long id, int status, JobStatus job, String reason, int retryAfterS) implements Effect {}

    /** Read the machine types. */
    record ListMachineTypes() implements Effect {}

    /** Read the list of machines. */
    record ListInstances() implements Effect {}

    /** Rent machines. */
    record CreateInstances(String requestId, String type, String zone, boolean spot, int count) implements Effect {}

    /** Delete machines. */
    record DeleteInstances(List<String> machines) implements Effect {}

    /** Tells every other controller; a large part takes several pages, as no message may be larger than 64 KiB. */
    record BroadcastStatus(List<PeerStatus> pages) implements Effect {
        public BroadcastStatus {
            pages = List.copyOf(pages);
        }
    }

    /** A line for the log. */
    record Log(Level level, String text) implements Effect {}

    /** Levels of the log. */
    enum Level {
        ERROR,
        INFO,
        DEBUG
    }

    /** A job's state as its user sees it. */
    record JobStatus(String job, JobCondition condition, int done, int running) {}

    /** Conditions of a job. */
    enum JobCondition {
        PENDING,
        RUNNING,
        DONE,
        CANCELLED
    }
}
