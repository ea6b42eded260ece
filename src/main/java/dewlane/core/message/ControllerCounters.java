package dewlane.core.message;

import dewlane.core.store.TransactionQueue;
import java.util.Locale;

/** What a controller has done since it last said so; plain counts: equal runs have equal ones. */
public final class ControllerCounters {
    public long reports;
    public long reportsRefused;
    public long changesSeen;
    public long attemptsSeen;
    public long passes;
    public long jobsLookedAt;
    public long machinesLookedAt;
    public long commands;
    public long probes;
    public long suspicions;
    public long launchesGivenUp;
    public long fencesRaised;
    public long forgetsHeld;
    public long handed;
    long writes;
    long changesWritten;
    public long launched;
    private final long[] changesBy = new long[TransactionQueue.Urgency.values().length];
    public long conflicts;
    public long refused;
    public long invalid;
    public long unreadable;

    public void wrote(TransactionQueue.Urgency urgency, int changes) {
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

    public String text() {
        return "reports " + reports + ", refused reports " + reportsRefused + ", changes seen " + changesSeen + " with "
                + attemptsSeen + " attempts, passes "
                + passes
                + " over " + jobsLookedAt + " jobs and " + machinesLookedAt + " machines, commands " + commands
                + ", probes "
                + probes + ", launches given up on " + launchesGivenUp + ", fences raised " + fencesRaised
                + ", forgets held back " + forgetsHeld + ", suspicions " + suspicions + ", handed on " + handed
                + ", writes " + writes + " of "
                + changesWritten
                + " changes (" + byUrgency() + "), tasks launched " + launched + ", conflicts " + conflicts
                + ", refused " + refused + ", invalid " + invalid + ", unreadable " + unreadable;
    }
}
