package dewlane.core.message;

/** Counters of a controller's activity since its start. */
public enum Counter {
    /** Heartbeats received from workers, including those that answer direct commands. */
    HEARTBEATS("heartbeats"),
    /** Heartbeats rejected because this controller was not allowed to renew worker leases at that time. */
    HEARTBEATS_REJECTED("heartbeats rejected"),
    /** Key changes received from the store's watch. */
    CHANGES_SEEN("changes seen"),
    /** Attempts in the slices that were listed or changed in the store. */
    ATTEMPTS_SEEN("attempts seen"),
    /** Scheduling cycles run. */
    SCHEDULING_CYCLES("scheduling cycles"),
    /** Ready jobs, summed over all scheduling cycles. */
    JOBS_CONSIDERED("jobs considered"),
    /** Machines evaluated as candidates for a task. */
    MACHINES_CONSIDERED("machines considered"),
    /** Messages with direct commands sent to workers. */
    COMMANDS("commands"),
    /** Probes of machines that are suspected unreachable. */
    PROBES("probes"),
    /** Direct commands with launches that timed out without an answer. */
    LAUNCHES_ABANDONED("launches abandoned"),
    /** Fencing tokens raised because a launch in flight was of a job that was cancelled or had ended. */
    FENCES_RAISED_FOR_CANCELLATIONS("fences raised for cancellations"),
    /** Fencing tokens raised so that workers could be told to forget attempts. */
    FENCES_RAISED_FOR_FORGETS("fences raised for forgets"),
    /** Fencing tokens raised because a machine became suspected unreachable. */
    FENCES_RAISED_FOR_SUSPICIONS("fences raised for suspicions"),
    /** Commands to forget an attempt, repeated ones included. */
    FORGETS("forgets"),
    /** Attempts that could not be forgotten at once, as their launch had the current fencing token. */
    FORGETS_DEFERRED("forgets deferred"),
    /** The longest time for which a command to forget an attempt was deferred, in milliseconds. */
    LONGEST_FORGET_DEFERRAL_MS("longest forget deferral in ms"),
    /** Launches in the store that a raised fencing token invalidated before the worker reported them. */
    LAUNCHES_FENCED_OFF("launches fenced off"),
    /** Times that a machine became suspected unreachable. */
    SUSPICIONS("suspicions"),
    /** Handovers of a slice's tasks to another partition. */
    HANDOVERS("handovers"),
    /** Transactions sent to the store, retries included. */
    TRANSACTIONS("transactions"),
    /** Keys written or deleted by the transactions sent. */
    WRITES("writes"),
    /** Task launches committed to the store. */
    TASKS_LAUNCHED("tasks launched"),
    /** Transactions rejected because a precondition failed. */
    CONFLICTS("conflicts"),
    /** Transactions refused because the rate limit was exceeded or the store was unavailable. */
    REFUSED_TRANSACTIONS("transactions refused"),
    /** Transactions that the store rejected as invalid. */
    INVALID_TRANSACTIONS("transactions invalid"),
    /** Stored keys and values that could not be read. */
    UNREADABLE_VALUES("unreadable values"),
    /** Submissions refused because the stored jobs take all the memory that is meant for them. */
    SUBMISSIONS_REFUSED_FOR_MEMORY("submissions refused for memory");

    private final String label;

    Counter(String label) {
        this.label = label;
    }

    /** Returns the counter's name in the log. */
    public String label() {
        return label;
    }
}
