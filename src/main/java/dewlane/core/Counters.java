package dewlane.core;

/** What a controller has done since it last said so; plain counts: equal runs have equal ones. */
final class Counters {
    long reports;
    long changesSeen;
    long attemptsSeen;
    long passes;
    long jobsLookedAt;
    long machinesLookedAt;
    long commands;
    long probes;
    long doubts;
    long handed;
    long writes;
    long changesWritten;
    long conflicts;
    long refused;

    String text() {
        return "reports " + reports + ", changes seen " + changesSeen + " with " + attemptsSeen + " attempts, passes " + passes
                + " over " + jobsLookedAt + " jobs and " + machinesLookedAt + " machines, commands " + commands + ", probes "
                + probes + ", doubts " + doubts + ", handed on " + handed + ", writes " + writes + " of " + changesWritten
                + " changes, conflicts " + conflicts + ", refused " + refused;
    }
}
