package dewlane.core;

import java.util.List;

/** Messages to the core. Ids are chosen by whoever expects the matching effect or answer. */
public sealed interface Input {

    /** Time has passed. */
    record Tick() implements Input {}

    record Row(String key, Value value, long version) {}

    /** A change; the value is null if the key was deleted. */
    record Change(String key, Value value, long version) {}

    /** All keys but the final states; changes after {@code revision} may or may not be in them. */
    record StateListed(List<Row> rows, long revision, long latest) implements Input {}

    record ListFailed() implements Input {}

    record Changes(List<Change> changes, long revision) implements Input {}

    /** The watch ended without an answer, or the revision was too old for it. */
    record WatchFailed(boolean tooOld) implements Input {}

    record TxnAnswer(long id, Txn.Status status, long revision) implements Input {}

    /** A lease was granted (0: not). */
    record LeaseGranted(long lease) implements Input {}

    /** A renewal was answered; {@code ended} if the lease is no more. */
    record LeaseTouched(long lease, boolean renewed, boolean ended) implements Input {}

    /** A key was read; {@code known} is false if the state service gave no answer. */
    record ValueRead(long id, boolean known, Value value, long version) implements Input {}

    record ReportReceived(long id, Report report) implements Input {}

    /** A direct command was answered, or not ({@code report} null). */
    record CommandAnswered(String machine, long token, boolean launched, Report report) implements Input {}

    /**
     * A submission.
     *
     * @param uid the job's id, or null if the body has none of the right form
     * @param job null if the body is malformed, and then {@code reason} says how
     */
    record Submit(long id, String uid, Job job, String reason) implements Input {}

    record Poll(long id, String job) implements Input {}

    record Abort(long id, String job) implements Input {}

    record CatalogRead(List<MachineType> types) implements Input {}

    record MachinesListed(List<ListedMachine> machines) implements Input {}

    /** A rental was answered. */
    record Rented(String request, RentStatus status, List<String> machines) implements Input {}

    /** How the cloud answered a rental. */
    enum RentStatus {
        RENTED,
        NO_CAPACITY,
        INVALID,
        UNKNOWN
    }

    record Deleted(List<String> machines, boolean gone) implements Input {}

    record PeerHeard(PeerStatus status) implements Input {}
}
