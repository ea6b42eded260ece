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
 * An event that the I/O layer passes to the core. The completion of an {@link Effect} carries the id of that effect;
 * requests of workers and users carry an id that the I/O layer assigned, and their response carries the same id.
 */
public sealed interface Input {

    /** The timer fired. */
    record Tick() implements Input {}

    // The store

    /** A key in the store, its value, and the revision at which it last changed. */
    record StoreRow(String key, StoredValue value, long revision) {}

    /**
     * A change of one key in the store.
     *
     * @param value the new value, or null if the key was deleted
     * @param revision the revision of the change
     */
    record KeyChange(String key, StoredValue value, long revision) {}

    /** A page of a listing of the store was read, and is not the last one. */
    record StorePageListed(List<StoreRow> rows) implements Input {}

    /**
     * The store was listed, page by page.
     *
     * @param rows the rows of the last page. All pages together have all keys except job results; changes after
     *     {@code revision} may or may not be included
     * @param revision the store's revision when the first page was read
     * @param latestRevision the store's revision when the last page was read
     */
    record StoreListed(List<StoreRow> rows, long revision, long latestRevision) implements Input {}

    /** The store could not be listed. */
    record StoreListFailed() implements Input {}

    /**
     * The store answered a watch request.
     *
     * @param watch the id of the watch
     * @param changes all changes after the requested revision up to {@code revision}, ordered by revision
     * @param revision the store's revision
     */
    record WatchEvents(long watch, List<KeyChange> changes, long revision) implements Input {}

    /**
     * A watch request timed out or failed.
     *
     * @param watch the id of the watch
     * @param revisionCompacted true if the store no longer holds all changes since the watch's revision
     */
    record WatchFailed(long watch, boolean revisionCompacted) implements Input {}

    /**
     * A transaction completed, or its request failed.
     *
     * @param status the result, as far as the response determines it
     * @param revision the store's revision if the transaction was committed or in conflict; otherwise 0
     */
    record TransactionCompleted(long id, Transaction.Status status, long revision) implements Input {}

    /** The store granted a lease. */
    record LeaseGranted(long lease) implements Input {}

    /** The request for a lease failed; the store may have granted one nevertheless. */
    record LeaseGrantFailed() implements Input {}

    /** A lease renewal completed, or its request failed. */
    record LeaseRenewalCompleted(long lease, RenewalStatus status) implements Input {}

    /** The result of a lease renewal. */
    enum RenewalStatus {
        /** The lease was renewed for its full time to live. */
        RENEWED,
        /** The lease no longer exists. */
        EXPIRED,
        /** The store did not answer, or refused the request; the lease may still exist. */
        UNKNOWN
    }

    /**
     * The value of a key was read.
     *
     * @param value the key's value, or empty if the key does not exist
     */
    record ValueRead(long id, Optional<StoredValue> value) implements Input {}

    /** The value of a key could not be read. */
    record ValueReadFailed(long id) implements Input {}

    /** The revision of the store's latest change was read. */
    record RevisionRead(long revision) implements Input {}

    /** The revision of the store's latest change could not be read. */
    record RevisionReadFailed() implements Input {}

    // Workers

    /** A worker sent a heartbeat and waits for the response. */
    record HeartbeatReceived(long id, Heartbeat heartbeat) implements Input {}

    /**
     * A direct command to a worker was answered, timed out, failed, or was never sent.
     *
     * @param machine the name of the worker's machine
     * @param fencingToken the fencing token of the command
     * @param mayHaveBeenSent false if the command was never sent, so that it cannot arrive late
     * @param heartbeat the heartbeat that the worker answered with, or null if there was no answer
     */
    record CommandCompleted(String machine, long fencingToken, boolean mayHaveBeenSent, Heartbeat heartbeat)
            implements Input {}

    // Users

    /**
     * A user submitted a job.
     *
     * @param jobId the job's id, or null if the body contains no valid id
     * @param job the job, or null if the body is malformed
     * @param bodyError why the body is malformed; null if it is well-formed
     */
    record SubmitJob(long id, String jobId, Job job, String bodyError) implements Input {}

    /** A user requested the state of a job. */
    record GetJobStatus(long id, String job) implements Input {}

    /** A user requested the cancellation of a job. */
    record CancelJob(long id, String job) implements Input {}

    // The cloud

    /** The cloud listed the machine types that it offers. */
    record MachineTypesListed(List<MachineType> types) implements Input {}

    /** The cloud listed its instances. The list lags behind the actual state. */
    record InstancesListed(List<CloudInstance> machines) implements Input {}

    /**
     * A request to create instances completed, or failed.
     *
     * @param requestId the id of the request
     * @param machines the names of the instances that were created, perhaps fewer than requested
     */
    record InstancesCreated(String requestId, CreateStatus status, List<String> machines) implements Input {}

    /** The result of a request to create instances. */
    enum CreateStatus {
        /** Instances were created. */
        CREATED,
        /** The cloud has no capacity of this type, zone and kind (spot or on-demand); nothing was created. */
        NO_CAPACITY,
        /** The cloud rejected the request as malformed; nothing was created. */
        INVALID,
        /** There was no definite answer; instances may have been created or may still be created. */
        UNKNOWN
    }

    /**
     * A request to delete instances completed, or failed.
     *
     * @param machines the names of the instances
     * @param terminated true if all of them are proven terminated; false if the cloud did not confirm it
     */
    record InstancesDeleted(List<String> machines, boolean terminated) implements Input {}

    // Peers

    /** A peer controller sent its status. */
    record PeerStatusReceived(PeerStatus status) implements Input {}
}
