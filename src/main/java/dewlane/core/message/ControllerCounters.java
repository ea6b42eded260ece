package dewlane.core.message;

import dewlane.core.store.TransactionQueue;
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
    private final long[] changesBy = new long[TransactionQueue.Urgency.values().length];
    public long conflicts;
    public long refusedTransactions;
    public long invalidTransactions;
    public long unreadableValues;

    public void countTransaction(TransactionQueue.Urgency urgency, int changes) {
        writes++;
        changesWritten += changes;
        changesBy[urgency.ordinal()] += changes;
    }

    private String byUrgency() {
        StringBuilder text = new StringBuilder();
        for (TransactionQueue.Urgency u : TransactionQueue.Urgency.values()) {
            text.append(text.length() == 0 ? "" : ", ")
                    .append(u.name().toLowerCase(Locale.ROOT))
                    .append(' ')
                    .append(changesBy[u.ordinal()]);
        }
        return text.toString();
    }

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
