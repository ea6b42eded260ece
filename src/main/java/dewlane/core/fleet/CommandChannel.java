package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/**
 * The commands to one machine: the fencing token that they carry, and which launches may still arrive there.
 *
 * <p>A launch reaches a worker in two ways: by a direct command, of which at most one is in flight, and in the response
 * to a heartbeat, of which the worker awaits at most one. A direct command is answered, or is abandoned and may then be
 * carried out at any later time. A response has been received or dropped by the time the worker sends its next
 * heartbeat.
 *
 * <p>Invariant: a worker is told to forget an attempt only with a token that is higher than those of all copies of its
 * launch that may still arrive. Otherwise such a copy starts the attempt again, although its end is written and the
 * task may run elsewhere.
 */
public final class CommandChannel {
    private static final int FENCE_BITS = 20;
    private static final long NO_TOKEN = 0;

    private long epoch;
    private int fence;

    /** The launches of the direct command in flight. */
    private final Set<AttemptId> commandLaunches = new HashSet<>();
    /** The token of the direct command in flight. */
    private long commandToken = NO_TOKEN;

    private long commandSentAtMs;

    /** The launches in the response to the latest heartbeat. */
    private final Set<AttemptId> responseLaunches = new HashSet<>();
    /** The token of that response. */
    private long responseToken = NO_TOKEN;

    /** Launches of abandoned direct commands, under the present token. */
    private final Set<AttemptId> abandonedLaunches = new HashSet<>();

    /** The token of the present owner: the epoch at which it acquired the machine, then the machine's own fence. */
    long fencingToken() {
        return (epoch << FENCE_BITS) | fence;
    }

    /** This controller becomes the machine's owner; the token is higher than those of any owner before. */
    void acquire(long newEpoch) {
        // The same map may be read anew: its tokens up to the present fence have been used.
        fence = newEpoch == epoch ? fence + 1 : 0;
        epoch = newEpoch;
        abandonedLaunches.clear();
        responseLaunches.clear();
        responseToken = NO_TOKEN;
    }

    /** From now on each command and response has the worker refuse all launches that were sent before. */
    public void raiseFence() {
        fence++;
        abandonedLaunches.clear();
    }

    /** The worker began another incarnation, in which no launch of an earlier one is carried out. */
    public void onNewIncarnation() {
        commandLaunches.clear();
        responseLaunches.clear();
        abandonedLaunches.clear();
    }

    /** True while a direct command is in flight. */
    public boolean isCommandInFlight() {
        return commandToken != NO_TOKEN;
    }

    /** A direct command is sent. */
    public void onCommandSent(Set<AttemptId> launches, long nowMs) {
        commandToken = fencingToken();
        commandSentAtMs = nowMs;
        commandLaunches.addAll(launches);
    }

    /** The time since the latest direct command was sent. */
    public long commandAgeMs(long nowMs) {
        return nowMs - commandSentAtMs;
    }

    /** The worker answered the direct command, or it was never sent: no copy of it can arrive. */
    public void onCommandResolved() {
        commandToken = NO_TOKEN;
        commandLaunches.clear();
    }

    /**
     * No answer to the direct command came in time; it may be carried out at any later time.
     *
     * @return true if it had launches
     */
    public boolean onCommandTimedOut() {
        boolean hadLaunches = !commandLaunches.isEmpty();
        if (commandToken == fencingToken()) {
            abandonedLaunches.addAll(commandLaunches);
        }
        onCommandResolved();
        return hadLaunches;
    }

    /** A heartbeat is responded to. */
    public void onResponseSent(Set<AttemptId> launches) {
        responseToken = fencingToken();
        responseLaunches.clear();
        responseLaunches.addAll(launches);
    }

    /** The worker sent another heartbeat, so it has received the response to its last one or will drop it. */
    public void onResponseResolved() {
        responseLaunches.clear();
    }

    /** The token of the latest response, which the next heartbeat must show; 0 before the first. */
    public long responseToken() {
        return responseToken;
    }

    /** The launches in the latest response, which the next heartbeat must show. */
    public Set<AttemptId> responseLaunches() {
        return Collections.unmodifiableSet(responseLaunches);
    }

    /** True if a launch of the attempt is in flight with the present token, and its fate will be known. */
    public boolean isLaunchInFlight(AttemptId attempt) {
        return (commandToken == fencingToken() && commandLaunches.contains(attempt))
                || (responseToken == fencingToken() && responseLaunches.contains(attempt));
    }

    /** True if a launch of the attempt may arrive with the present token at any time. */
    public boolean isLaunchAbandoned(AttemptId attempt) {
        return abandonedLaunches.contains(attempt);
    }
}
