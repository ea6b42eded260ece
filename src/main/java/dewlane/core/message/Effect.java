package dewlane.core.message;

import dewlane.core.model.PeerStatus;
import dewlane.core.model.WorkerCommand;
import dewlane.core.schema.Transaction;
import java.util.List;

/**
 * What the core wants done by the sockets and timers round it. An effect with an answer names the {@link Input} that
 * brings it; where it has an id, so has that input.
 */
public sealed interface Effect {

    // The store

    /** List all keys but job results; answered by {@link Input.StoreListed} or {@link Input.StoreListFailed}. */
    record ListStore() implements Effect {}

    /**
     * Wait for changes; answered by {@link Input.WatchEvents} or {@link Input.WatchFailed}.
     *
     * @param afterRevision the revision up to which changes are known
     */
    record Watch(long afterRevision) implements Effect {}

    /** Send a transaction; answered by {@link Input.TransactionCompleted}. */
    record CommitTransaction(long id, Transaction transaction) implements Effect {}

    /**
     * Ask for a lease; answered by {@link Input.LeaseGranted} or {@link Input.LeaseGrantFailed}.
     *
     * @param ttlMs milliseconds after which the lease expires unless it is renewed
     */
    record GrantLease(long ttlMs) implements Effect {}

    /** Renew a lease; answered by {@link Input.LeaseRenewalCompleted}. */
    record RenewLease(long lease) implements Effect {}

    /** Read one key; answered by {@link Input.ValueRead} or {@link Input.ValueReadFailed}. */
    record ReadValue(long id, String key) implements Effect {}

    /**
     * Ask for the revision of the store's latest change; answered by {@link Input.RevisionRead} or
     * {@link Input.RevisionReadFailed}.
     */
    record ReadRevision() implements Effect {}

    // Workers

    /**
     * Answer a worker's heartbeat, which renews the worker's lease.
     *
     * @param id the id of the heartbeat
     * @param fencingToken a worker that has seen a higher one drops the answer
     * @param commands what the worker is to do, in this order
     */
    record AnswerHeartbeat(long id, long fencingToken, List<WorkerCommand> commands) implements Effect {
        public AnswerHeartbeat {
            commands = List.copyOf(commands);
        }
    }

    /**
     * Tell a worker to send its heartbeats to another controller; its lease is not renewed.
     *
     * @param id the id of the heartbeat
     * @param controller the name of that controller, or null for any other
     */
    record RedirectHeartbeat(long id, String controller) implements Effect {}

    /**
     * Refuse a worker's heartbeat, so that the worker tries the next controller; its lease is not renewed.
     *
     * @param id the id of the heartbeat
     */
    record RejectHeartbeat(long id) implements Effect {}

    /**
     * Send commands to a worker without waiting for its heartbeat; answered by {@link Input.CommandCompleted}.
     *
     * @param machine the name of the worker's machine
     * @param address host and port of the worker
     * @param incarnation the worker's incarnation; another one executes nothing
     * @param fencingToken a worker that has seen a higher one executes nothing
     * @param commands what the worker is to do, in this order; may be empty, to see whether it answers
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
     * Answer a user's request.
     *
     * @param id the id of the request
     * @param status the HTTP status
     * @param job the job's state; null unless the status is 200 or 201
     * @param reason why the request was refused; null if it was not
     * @param retryAfterS seconds after which the user should try again, if the status is 503
     */
    record AnswerUser(long id, int status, JobStatus job, String reason, int retryAfterS) implements Effect {}

    /**
     * A job's state as its user sees it.
     *
     * @param job the job's id
     * @param condition what has become of the job
     * @param done how many tasks are done
     * @param running how many tasks may be on a machine
     */
    record JobStatus(String job, JobCondition condition, int done, int running) {}

    /** Conditions of a job. */
    enum JobCondition {
        /** No task is on a machine at present, and not all are done. */
        PENDING,
        /** A task may be on a machine. */
        RUNNING,
        /** Every task is done. */
        DONE,
        /** Cancelled by its user, or through a job that it depends on. */
        CANCELLED
    }

    // The cloud

    /** Read the machine types; answered by {@link Input.MachineTypesListed}. */
    record ListMachineTypes() implements Effect {}

    /** Read the list of instances; answered by {@link Input.InstancesListed}. */
    record ListInstances() implements Effect {
        /** How many instances the cloud lists by one request. */
        public static final int PAGE_SIZE = 500;
    }

    /**
     * Create instances; answered by {@link Input.InstancesCreated}.
     *
     * @param requestId makes the request idempotent; never used for another one
     * @param type the name of the machine type
     * @param zone the zone's name
     * @param spot true for spot instances
     * @param count how many to create
     */
    record CreateInstances(String requestId, String type, String zone, boolean spot, int count) implements Effect {}

    /** Delete instances by name; answered by {@link Input.InstancesDeleted}. */
    record DeleteInstances(List<String> machines) implements Effect {
        /** The most instances that the cloud deletes by one request. */
        public static final int MAX_INSTANCES = 100;

        public DeleteInstances {
            machines = List.copyOf(machines);
        }
    }

    // Peers

    /**
     * Send this controller's status to every other one.
     *
     * @param pages messages to be sent one by one: a large partition takes several, as no message may be larger than 64
     *     KiB
     */
    record BroadcastStatus(List<PeerStatus> pages) implements Effect {
        public BroadcastStatus {
            pages = List.copyOf(pages);
        }
    }

    // The log

    /** Write a line to the log. */
    record Log(Level level, String text) implements Effect {}

    /** Levels of the log. */
    enum Level {
        ERROR,
        INFO,
        DEBUG
    }
}
