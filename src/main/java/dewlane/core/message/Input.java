package dewlane.core.message;

import dewlane.core.model.CloudInstance;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.PeerStatus;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.Transaction;
import java.util.List;

/** Messages to the core. Ids are chosen by whoever expects the matching effect or answer. */
public sealed interface Input {

    /** Time has passed. */
    record Tick() implements Input {}

    /** A key of the state service with its value and the revision of its latest change. */
    record StoreRow(String key, StoredValue value, long revision) {}

    /** A change; the value is null if the key was deleted. */
    record KeyChange(String key, StoredValue value, long revision) {}

    /** All keys but the final states; changes after {@code revision} may or may not be in them. */
    record StoreListed(List<StoreRow> rows, long revision, long latestRevision) implements Input {}

    /** The state could not be read. */
    record StoreListFailed() implements Input {}

    /** What a watch returned: every change up to the revision. */
    record WatchEvents(List<KeyChange> changes, long revision) implements Input {}

    /** The watch ended without an answer, or the revision was too old for it. */
    record WatchFailed(boolean revisionCompacted) implements Input {}

    /** How a transaction ended, as far as the answer tells. */
    record TransactionCompleted(long id, Transaction.Status status, long revision) implements Input {}

    /** A lease was granted (0: not). */
    record LeaseGranted(long lease) implements Input {}

    /** A renewal was answered; {@code ended} if the lease is no more. */
    record LeaseRenewalCompleted(long lease, boolean renewed, boolean expired) implements Input {}

    /** A key was read; {@code known} is false if the state service gave no answer. */
    record ValueRead(long id, boolean known, StoredValue value, long revision) implements Input {}

    /** The revision was read; {@code known} is false if the state service gave no answer. */
    record RevisionRead(boolean known, long revision) implements Input {}

    /** A worker reported and waits for the answer. */
    record HeartbeatReceived(long id, Heartbeat heartbeat) implements Input {}

    /** A direct command was answered, or not ({@code report} null); if it was not {@code sent}, it never arrives. */
    record CommandCompleted(String machine, long fencingToken, boolean delivered, Heartbeat heartbeat)
            implements Input {}

    /**
     * A submission.
     *
     * @param jobId the job's id, or null if the body has none of the right form
     * @param job null if the body is malformed, and then {@code reason} says how
     */
    record SubmitJob(long id, String jobId, Job job, String rejection) implements Input {}

    /** A user asks for a job's state. */
    record GetJobStatus(long id, String job) implements Input {}

    /** A user cancels a job. */
    record CancelJob(long id, String job) implements Input {}

    /** The machine types that the cloud rents out. */
    record MachineTypesListed(List<MachineType> types) implements Input {}

    /** A page of the cloud's list, or all of it. */
    record InstancesListed(List<CloudInstance> machines) implements Input {}

    /** A rental was answered. */
    record InstancesCreated(String requestId, CreateStatus status, List<String> machines) implements Input {}

    /** How the cloud answered a rental. */
    enum CreateStatus {
        CREATED,
        NO_CAPACITY,
        INVALID,
        UNKNOWN
    }

    /** A deletion was answered; {@code gone} if the machines are proven gone. */
    record InstancesDeleted(List<String> machines, boolean terminated) implements Input {}

    /** A peer told what it knows. */
    record PeerStatusReceived(PeerStatus status) implements Input {}
}
