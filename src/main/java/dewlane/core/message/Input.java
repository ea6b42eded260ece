package dewlane.core.message;

import dewlane.core.model.CloudInstance;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.PeerStatus;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.Transaction;
import java.util.List;
import java.util.Optional;

/**
 * What happened outside the core. The answer to an {@link Effect} bears the id of that; workers' and users' requests
 * bear one that the I/O layer has chosen, under which it expects the answer.
 */
public sealed interface Input {

    /** Time has passed. */
    record Tick() implements Input {}

    // The store

    /** A key of the store with its value, and the revision of its latest change. */
    record StoreRow(String key, StoredValue value, long revision) {}

    /**
     * A change of one key.
     *
     * @param value the new value, or null if the key was deleted
     * @param revision the revision of the change
     */
    record KeyChange(String key, StoredValue value, long revision) {}

    /**
     * The store was listed, page by page.
     *
     * @param rows all keys but job results; changes after {@code revision} may or may not be in them
     * @param revision the store's revision as the first page was read
     * @param latestRevision the store's revision as the last page was read
     */
    record StoreListed(List<StoreRow> rows, long revision, long latestRevision) implements Input {}

    /** The store could not be listed. */
    record StoreListFailed() implements Input {}

    /**
     * A watch was answered.
     *
     * @param changes every change up to the revision, in the order of revisions
     * @param revision the store's revision
     */
    record WatchEvents(List<KeyChange> changes, long revision) implements Input {}

    /**
     * A watch ended without changes.
     *
     * @param revisionCompacted true if the store does not remember changes since the watch's revision any more
     */
    record WatchFailed(boolean revisionCompacted) implements Input {}

    /**
     * A transaction ended.
     *
     * @param status how it ended, as far as the answer tells
     * @param revision the store's revision, if the status is a commit or a conflict; otherwise 0
     */
    record TransactionCompleted(long id, Transaction.Status status, long revision) implements Input {}

    /** A lease was granted. */
    record LeaseGranted(long lease) implements Input {}

    /** No lease was granted, as far as the answer tells. */
    record LeaseGrantFailed() implements Input {}

    /** A lease renewal ended. */
    record LeaseRenewalCompleted(long lease, RenewalStatus status) implements Input {}

    /** How a lease renewal ended. */
    enum RenewalStatus {
        /** The lease has its full time again. */
        RENEWED,
        /** The lease exists no longer. */
        EXPIRED,
        /** The store did not answer, or refused to. */
        UNKNOWN
    }

    /**
     * A key was read.
     *
     * @param value the key's value, or empty if the key does not exist
     */
    record ValueRead(long id, Optional<StoredValue> value) implements Input {}

    /** A key could not be read. */
    record ValueReadFailed(long id) implements Input {}

    /** The revision of the store's latest change was read. */
    record RevisionRead(long revision) implements Input {}

    /** The revision of the store's latest change could not be read. */
    record RevisionReadFailed() implements Input {}

    // Workers

    /** A worker has sent a heartbeat and waits for the answer. */
    record HeartbeatReceived(long id, Heartbeat heartbeat) implements Input {}

    /**
     * Commands sent straight to a worker were answered, or given up on.
     *
     * @param machine the name of the worker's machine
     * @param fencingToken the token that the commands bore
     * @param mayHaveBeenSent false if the commands were never sent, so that they cannot arrive late
     * @param heartbeat the worker's answer, or null if there was none
     */
    record CommandCompleted(String machine, long fencingToken, boolean mayHaveBeenSent, Heartbeat heartbeat)
            implements Input {}

    // Users

    /**
     * A user submits a job.
     *
     * @param jobId the job's id, or null if the body has none of the right form
     * @param job the job, or null if the body is malformed
     * @param bodyError what is wrong with a malformed body; null for any other
     */
    record SubmitJob(long id, String jobId, Job job, String bodyError) implements Input {}

    /** A user asks for a job's state. */
    record GetJobStatus(long id, String job) implements Input {}

    /** A user cancels a job. */
    record CancelJob(long id, String job) implements Input {}

    // The cloud

    /** The machine types that the cloud offers. */
    record MachineTypesListed(List<MachineType> types) implements Input {}

    /** The cloud's list of instances, which lags. */
    record InstancesListed(List<CloudInstance> machines) implements Input {}

    /**
     * A request for instances ended.
     *
     * @param requestId the id of the request
     * @param machines the names of the instances that were created, perhaps fewer than requested
     */
    record InstancesCreated(String requestId, CreateStatus status, List<String> machines) implements Input {}

    /** How a request for instances ended. */
    enum CreateStatus {
        /** Instances were created. */
        CREATED,
        /** The cloud has none of this type, zone and kind at present; nothing was created. */
        NO_CAPACITY,
        /** The cloud calls the request malformed; nothing was created. */
        INVALID,
        /** There was no answer that says; instances may have been created or may yet be. */
        UNKNOWN
    }

    /**
     * A request to delete instances ended.
     *
     * @param machines the names of the instances
     * @param terminated true if they are proven gone; false if the cloud did not say
     */
    record InstancesDeleted(List<String> machines, boolean terminated) implements Input {}

    // Peers

    /** Another controller has sent its status. */
    record PeerStatusReceived(PeerStatus status) implements Input {}
}
