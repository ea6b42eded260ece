package dewlane.core.message;

import dewlane.core.model.Order;
import dewlane.core.model.PeerStatus;
import dewlane.core.schema.Transaction;
import java.util.List;

/** What the core wants done by the sockets and timers round it. */
public sealed interface Effect {

    /** Read the whole state. */
    record ListState() implements Effect {}

    /** Wait for changes after the revision. */
    record Watch(long since) implements Effect {}

    /** Send a transaction. */
    record SendTxn(long id, Transaction txn) implements Effect {}

    /** Ask for a lease. */
    record GrantLease(long ttlMs) implements Effect {}

    /** Renew a lease. */
    record TouchLease(long lease) implements Effect {}

    /** Read one key. */
    record ReadValue(long id, String key) implements Effect {}

    /** Ask for the revision of the state service's latest change. */
    record ReadRevision() implements Effect {}

    /** Answer a worker's report, which renews its lease. */
    record AnswerReport(long id, long token, List<Order> orders) implements Effect {}

    /** The worker should report to {@code node}, or to any other if null. */
    record RedirectReport(long id, String node) implements Effect {}

    /** Send a worker to the next controller. */
    record RefuseReport(long id) implements Effect {}

    /** Send commands straight to a worker. */
    record Command(String machine, String address, long session, long token, List<Order> orders) implements Effect {}

    /**
     * Answers a user.
     *
     * @param state null unless the status is 200 or 201
     * @param retryAfterS when to come back, if the status is 503
     */
    record AnswerUser(long id, int status, JobState state, String reason, int retryAfterS) implements Effect {}

    /** Read the machine types. */
    record ReadCatalog() implements Effect {}

    /** Read the list of machines. */
    record ListMachines() implements Effect {}

    /** Rent machines. */
    record Rent(String request, String type, String zone, boolean spot, int count) implements Effect {}

    /** Delete machines. */
    record Delete(List<String> machines) implements Effect {}

    /** Tells every other controller; a large part takes several pages, as no message may be larger than 64 KiB. */
    record TellPeers(List<PeerStatus> pages) implements Effect {
        public TellPeers {
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
    record JobState(String job, Condition condition, int done, int running) {}

    /** Conditions of a job. */
    enum Condition {
        PENDING,
        RUNNING,
        DONE,
        ABORTED
    }
}
