package dewlane.core;

import java.util.Locale;

/** What a controller has done since it last said so; plain counts: equal runs have equal ones. */
final class Counters {
    long reports;
    long reportsRefused;
    long changesSeen;
    long attemptsSeen;
    long passes;
    long jobsLookedAt;
    long machinesLookedAt;
    long commands;
    long probes;
    long suspicions;
    long launchesGivenUp;
    long fencesRaised;
    long forgetsHeld;
    long handed;
    long writes;
    long changesWritten;
    long launched;
    private final long[] changesBy = new long[TransactionQueue.Urgency.values().length];
    long conflicts;
    long refused;
    long invalid;
    long unreadable;

    void wrote(TransactionQueue.Urgency urgency, int changes) {
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

    String text() {
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
