package dewlane.core.message;

/** What a controller counts about itself. */
public enum Counter {
    /** Heartbeats of workers. */
    HEARTBEATS("heartbeats"),
    /** Heartbeats that were rejected, as this controller might not renew leases. */
    HEARTBEATS_REJECTED("heartbeats rejected"),
    /** Changes that the watch brought. */
    CHANGES_SEEN("changes seen"),
    /** Attempts in the slices that the watch brought. */
    ATTEMPTS_SEEN("attempts seen"),
    /** Scheduling cycles. */
    SCHEDULING_CYCLES("scheduling cycles"),
    /** Ready jobs, once a cycle. */
    JOBS_CONSIDERED("jobs considered"),
    /** Machines looked at for a task. */
    MACHINES_CONSIDERED("machines considered"),
    /** Direct commands to workers. */
    COMMANDS("commands"),
    /** Commands that ask a suspected machine for a sign. */
    PROBES("probes"),
    /** Direct commands with launches that were not answered in time. */
    LAUNCHES_ABANDONED("launches abandoned"),
    /** Fences raised because of a launch in flight. */
    FENCES_RAISED("fences raised"),
    /** Attempts not forgotten yet, as a launch of them was in flight. */
    FORGETS_DEFERRED("forgets deferred"),
    /** Machines that may not hear this controller. */
    SUSPICIONS("suspicions"),
    /** Tasks handed over to another partition. */
    HANDOVERS("handovers"),
    /** Transactions sent. */
    TRANSACTIONS("transactions"),
    /** Keys written or deleted by them. */
    WRITES("writes"),
    /** Tasks launched. */
    TASKS_LAUNCHED("tasks launched"),
    /** Transactions whose preconditions did not hold. */
    CONFLICTS("conflicts"),
    /** Transactions refused for the rate, or as the store is unavailable. */
    REFUSED_TRANSACTIONS("transactions refused"),
    /** Transactions that the store called invalid. */
    INVALID_TRANSACTIONS("transactions invalid"),
    /** Stored values that cannot be read. */
    UNREADABLE_VALUES("unreadable values");

    private final String label;

    Counter(String label) {
        this.label = label;
    }

    /** The counter's name in the log. */
    public String label() {
        return label;
    }
}
