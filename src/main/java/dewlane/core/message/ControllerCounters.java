package dewlane.core.message;

import dewlane.core.schema.TransactionPriority;
import java.util.Locale;

/** What a controller has done since it last said so; plain counts: equal runs have equal ones. */
public final class ControllerCounters {
    public long heartbeats;
    public long heartbeatsRejected;
    public long changesSeen;
    public long attemptsSeen;
    public long schedulingCycles;
    public long jobsConsidered;
    public long machinesConsidered;
    public long commands;
    public long probes;
    public long suspicions;
    public long launchesAbandoned;
    public long fencesRaised;
    public long forgetsDeferred;
    public long handovers;
    long writes;
    long changesWritten;
    public long tasksLaunched;
    private final long[] changesBy = new long[TransactionPriority.values().length];
    public long conflicts;
    public long refusedTransactions;
    public long invalidTransactions;
    public long unreadableValues;

    /** Counts a transaction that is sent. */
    public void countTransaction(TransactionPriority urgency, int changes) {
        writes++;
        changesWritten += changes;
        changesBy[urgency.ordinal()] += changes;
    }

    private String byUrgency() {
        StringBuilder text = new StringBuilder();
        for (TransactionPriority u : TransactionPriority.values()) {
            text.append(text.length() == 0 ? "" : ", ")
                    .append(u.name().toLowerCase(Locale.ROOT))
                    .append(' ')
                    .append(changesBy[u.ordinal()]);
        }
        return text.toString();
    }

    /** All counters in one line, for the log. */
    public String summary() {
        return "reports " + heartbeats + ", refused reports " + heartbeatsRejected + ", changes seen " + changesSeen
                + " with "
                + attemptsSeen + " attempts, passes "
                + schedulingCycles
                + " over " + jobsConsidered + " jobs and " + machinesConsidered + " machines, commands " + commands
                + ", probes "
                + probes + ", launches given up on " + launchesAbandoned + ", fences raised " + fencesRaised
                + ", forgets held back " + forgetsDeferred + ", suspicions " + suspicions + ", handed on " + handovers
                + ", writes " + writes + " of "
                + changesWritten
                + " changes (" + byUrgency() + "), tasks launched " + tasksLaunched + ", conflicts " + conflicts
                + ", refused " + refusedTransactions + ", invalid " + invalidTransactions + ", unreadable "
                + unreadableValues;
    }
}
