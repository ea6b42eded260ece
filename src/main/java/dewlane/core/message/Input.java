package dewlane.core.message;

import dewlane.core.model.Job;
import dewlane.core.model.ListedMachine;
import dewlane.core.model.MachineType;
import dewlane.core.model.PeerStatus;
import dewlane.core.model.Report;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.Value;
import java.util.List;

/** Messages to the core. Ids are chosen by whoever expects the matching effect or answer. */
public sealed interface Input {

    /** Time has passed. */
    record Tick() implements Input {}

    /** A key of the state service with its value and the revision of its latest change. */
    record Row(String key, Value value, long version) {}

    /** A change; the value is null if the key was deleted. */
    record Change(String key, Value value, long version) {}

    /** All keys but the final states; changes after {@code revision} may or may not be in them. */
    record StateListed(List<Row> rows, long revision, long latest) implements Input {}

    /** The state could not be read. */
    record ListFailed() implements Input {}

    /** What a watch returned: every change up to the revision. */
    record Changes(List<Change> changes, long revision) implements Input {}

    /** The watch ended without an answer, or the revision was too old for it. */
    record WatchFailed(boolean tooOld) implements Input {}

    /** How a transaction ended, as far as the answer tells. */
    record TxnAnswer(long id, Transaction.Status status, long revision) implements Input {}

    /** A lease was granted (0: not). */
    record LeaseGranted(long lease) implements Input {}

    /** A renewal was answered; {@code ended} if the lease is no more. */
    record LeaseTouched(long lease, boolean renewed, boolean ended) implements Input {}

    /** A key was read; {@code known} is false if the state service gave no answer. */
    record ValueRead(long id, boolean known, Value value, long version) implements Input {}

    /** The revision was read; {@code known} is false if the state service gave no answer. */
    record RevisionRead(boolean known, long revision) implements Input {}

    /** A worker reported and waits for the answer. */
    record ReportReceived(long id, Report report) implements Input {}

    /** A direct command was answered, or not ({@code report} null); if it was not {@code sent}, it never arrives. */
    record CommandAnswered(String machine, long token, boolean sent, Report report) implements Input {}

    /**
     * A submission.
     *
     * @param uid the job's id, or null if the body has none of the right form
     * @param job null if the body is malformed, and then {@code reason} says how
     */
    record Submit(long id, String uid, Job job, String reason) implements Input {}

    /** A user asks for a job's state. */
    record Poll(long id, String job) implements Input {}

    /** A user cancels a job. */
    record Abort(long id, String job) implements Input {}

    /** The machine types that the cloud rents out. */
    record CatalogRead(List<MachineType> types) implements Input {}

    /** A page of the cloud's list, or all of it. */
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

    /** A deletion was answered; {@code gone} if the machines are proven gone. */
    record Deleted(List<String> machines, boolean gone) implements Input {}

    /** A peer told what it knows. */
    record PeerHeard(PeerStatus status) implements Input {}
}
