package dewlane.core.message;

import dewlane.core.model.PeerStatus;
import dewlane.core.model.WorkerCommand;
import dewlane.core.schema.Transaction;
import java.util.List;

/**
 * An action that the core asks the I/O layer to perform. If an effect is answered, its comment names the {@link Input}
 * that carries the answer; if the effect has an id, that input carries the same id.
 */
public sealed interface Effect {

    // The store

    /** List all keys except job results; answered by {@link Input.StoreListed} or {@link Input.StoreListFailed}. */
    record ListStore() implements Effect {}

    /**
     * Wait for changes in the store; answered by {@link Input.WatchEvents} or {@link Input.WatchFailed}.
     *
     * @param id the id of the watch, which its answer repeats
     * @param afterRevision the revision after which changes are requested
     */
    record Watch(long id, long afterRevision) implements Effect {}

    /** Send a transaction to the store; answered by {@link Input.TransactionCompleted}. */
    record CommitTransaction(long id, Transaction transaction) implements Effect {}

    /**
     * Request a lease; answered by {@link Input.LeaseGranted} or {@link Input.LeaseGrantFailed}.
     *
     * @param ttlMs time to live in milliseconds, after which the lease expires unless it is renewed
     */
    record GrantLease(long ttlMs) implements Effect {}

    /** Renew a lease; answered by {@link Input.LeaseRenewalCompleted}. */
    record RenewLease(long lease) implements Effect {}

    /** Read the value of one key; answered by {@link Input.ValueRead} or {@link Input.ValueReadFailed}. */
    record ReadValue(long id, String key) implements Effect {}

    /**
     * Read the revision of the store's latest change; answered by {@link Input.RevisionRead} or
     * {@link Input.RevisionReadFailed}.
     */
    record ReadRevision() implements Effect {}

    // Workers

    /**
     * Respond to a worker's heartbeat, which renews the worker's lease.
     *
     * @param id the id of the heartbeat
     * @param fencingToken the fencing token; a worker that has seen a higher one ignores the response
     * @param commands the commands to the worker, in the order of execution
     */
    record AnswerHeartbeat(long id, long fencingToken, List<WorkerCommand> commands) implements Effect {
        public AnswerHeartbeat {
            commands = List.copyOf(commands);
        }
    }

    /**
     * Redirect a worker's heartbeats to another controller. The worker's lease is not renewed.
     *
     * @param id the id of the heartbeat
     * @param controller the name of the other controller, or null for any other controller
     */
    record RedirectHeartbeat(long id, String controller) implements Effect {}

    /**
     * Reject a worker's heartbeat, so that the worker tries the next controller. The worker's lease is not renewed.
     *
     * @param id the id of the heartbeat
     */
    record RejectHeartbeat(long id) implements Effect {}

    /**
     * Send commands directly to a worker, without waiting for its heartbeat; answered by
     * {@link Input.CommandCompleted}.
     *
     * @param machine the name of the worker's machine
     * @param address host and port of the worker
     * @param incarnation the worker's incarnation; a worker of another incarnation executes nothing
     * @param fencingToken the fencing token; a worker that has seen a higher one executes nothing
     * @param commands the commands, in the order of execution; empty to probe whether the worker answers
     */
    record SendCommands(
            String machine, String address, long incarnation, long fencingToken, List<WorkerCommand> commands)
            implements Effect {
        public SendCommands {
            commands = List.copyOf(commands);
        }
    }

    // Users

    /**
     * Respond to a user's request.
     *
     * @param id the id of the request
     * @param status the HTTP status
     * @param job the job's state; null unless the status is 200 or 201
     * @param reason why the request was rejected; null if it was not
     * @param retryAfterS seconds after which the user should retry, if the status is 503
     */
    record AnswerUser(long id, int status, JobStatus job, String reason, int retryAfterS) implements Effect {}

    /**
     * A job's state as reported to users.
     *
     * @param job the job's id
     * @param condition the condition of the whole job
     * @param done number of tasks that are done
     * @param running number of tasks that may be on a machine
     */
    record JobStatus(String job, JobCondition condition, int done, int running) {}

    /** The condition of a job. */
    enum JobCondition {
        /** Not all tasks are done, and none is on a machine. */
        PENDING,
        /** At least one task may be on a machine. */
        RUNNING,
        /** All tasks are done. */
        DONE,
        /** Cancelled by a user, or because a job that it depends on was cancelled. */
        CANCELLED
    }

    // The cloud

    /** List the machine types that the cloud offers; answered by {@link Input.MachineTypesListed}. */
    record ListMachineTypes() implements Effect {}

    /** List the instances; answered by {@link Input.InstancesListed}. */
    record ListInstances() implements Effect {
        /** Number of instances that the cloud lists per request. */
        public static final int PAGE_SIZE = 500;
    }

    /**
     * Create instances; answered by {@link Input.InstancesCreated}.
     *
     * @param requestId idempotency key of the request, never reused
     * @param type the name of the machine type
     * @param zone the zone's name
     * @param spot true for spot instances
     * @param count number of instances to create
     */
    record CreateInstances(String requestId, String type, String zone, boolean spot, int count) implements Effect {}

    /** Delete instances by name; answered by {@link Input.InstancesDeleted}. */
    record DeleteInstances(List<String> machines) implements Effect {
        /** Maximum number of instances that the cloud deletes per request. */
        public static final int MAX_INSTANCES = 100;

        public DeleteInstances {
            machines = List.copyOf(machines);
        }
    }

    // Peers

    /**
     * Send this controller's status to all peers.
     *
     * @param pages the messages, sent one at a time: a large partition needs several, as no message may exceed 64 KiB
     */
    record BroadcastStatus(List<PeerStatus> pages) implements Effect {
        public BroadcastStatus {
            pages = List.copyOf(pages);
        }
    }

    // Logging

    /** Write a line to the log. */
    record Log(Level level, String text) implements Effect {}

    /** Log levels. */
    enum Level {
        ERROR,
        INFO,
        DEBUG
    }
}
