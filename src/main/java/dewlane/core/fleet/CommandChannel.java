package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import java.util.HashSet;
import java.util.Set;

/**
 * The commands to one machine: the token that they carry, and which launches may still arrive there.
 *
 * <p>A launch reaches a worker in two ways: by a direct command, of which at most one is under way, and with the answer
 * to a report, of which the worker awaits at most one. A direct command is answered, or is given up on and may then be
 * carried out at any later time. An answer is received or dropped by the time at which the worker reports again.
 *
 * <p>Invariant: a worker is told to forget an attempt only with a token that is higher than those of all copies of its
 * launch that may still arrive. Else such a copy starts the attempt again, although its end is written and the task may
 * run elsewhere.
 */
public final class CommandChannel {
    private static final int FENCE_BITS = 20;

    private long epoch;
    private int fence;
    /** The launches of the direct command under way, and its token; 0 while none is under way. */
    private final Set<AttemptId> commandLaunches = new HashSet<>();

    private long commandToken;
    private long commandSentAt;
    /** The launches in the answer to the latest report, and its token; 0 before the first. */
    private final Set<AttemptId> answerLaunches = new HashSet<>();

    private long answerToken;
    /** Launches of direct commands that were given up on, under the present token. */
    private final Set<AttemptId> abandonedLaunches = new HashSet<>();

    /** The token of the present owner: the epoch at which it got the machine, then the machine's own fence. */
    long fencingToken() {
        return (epoch << FENCE_BITS) | fence;
    }

    /** The machine came to this controller; the token is higher than those of any owner before. */
    void acquire(long newEpoch) {
        // The same map may be read anew: its tokens up to the present fence have been used.
        fence = newEpoch == epoch ? fence + 1 : 0;
        epoch = newEpoch;
        abandonedLaunches.clear();
        answerLaunches.clear();
        answerToken = 0;
    }

    /** From now on each command and answer refuses, where it arrives, all launches that were sent before. */
    public void raiseFence() {
        fence++;
        abandonedLaunches.clear();
    }

    /** The worker began another session, in which no launch of an earlier one is carried out. */
    public void incarnationBegan() {
        commandLaunches.clear();
        answerLaunches.clear();
        abandonedLaunches.clear();
    }

    /** True while a direct command is under way. */
    public boolean isCommandInFlight() {
        return commandToken != 0;
    }

    /** A direct command goes out. */
    public void commandSent(Set<AttemptId> launches, long now) {
        commandToken = fencingToken();
        commandSentAt = now;
        commandLaunches.addAll(launches);
    }

    /** For how long the direct command has been under way. */
    public long commandAgeMs(long now) {
        return now - commandSentAt;
    }

    /** The worker answered the direct command, or it was never sent: no copy of it can arrive. */
    public void commandSettled() {
        commandToken = 0;
        commandLaunches.clear();
    }

    /**
     * No answer to the direct command came in time; it may be carried out at any later time.
     *
     * @return true if it had launches
     */
    public boolean commandAbandoned() {
        boolean launches = !commandLaunches.isEmpty();
        if (commandToken == fencingToken()) {
            abandonedLaunches.addAll(commandLaunches);
        }
        commandSettled();
        return launches;
    }

    /** A report is answered. */
    public void answerSent(Set<AttemptId> launches) {
        answerToken = fencingToken();
        answerLaunches.clear();
        answerLaunches.addAll(launches);
    }

    /** The worker reports again, so it has received the answer to its last report or will drop it. */
    public void answerSettled() {
        answerLaunches.clear();
    }

    /** The token of the latest answer to a report, which the next report must show; 0 before the first. */
    public long answerToken() {
        return answerToken;
    }

    /** The launches in the latest answer to a report, which the next report must show. */
    public Set<AttemptId> answerLaunches() {
        return answerLaunches;
    }

    /** True if a launch of the attempt is under way with the present token, and it will be known what became of it. */
    public boolean isLaunchInFlight(AttemptId attempt) {
        return commandToken == fencingToken() && commandLaunches.contains(attempt)
                || answerToken == fencingToken() && answerLaunches.contains(attempt);
    }

    /** True if a launch of the attempt may arrive with the present token at any time. */
    public boolean isLaunchAbandoned(AttemptId attempt) {
        return abandonedLaunches.contains(attempt);
    }
}
