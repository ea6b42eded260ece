package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/**
 * The commands in flight to one machine: the fencing token that they carry, and the launches that may still arrive
 * there.
 *
 * <p>A launch reaches a worker in one of two ways: in a direct command, of which at most one is in flight, or in the
 * response to a heartbeat, of which the worker awaits at most one. A direct command is answered, or times out and may
 * then still be executed at any later time. By the time the worker sends its next heartbeat, it has either received the
 * response to the previous one or drops it.
 *
 * <p>Invariant: a worker is told to forget an attempt only with a token that is higher than those of all copies of the
 * attempt's launch that may still arrive. Otherwise such a copy would start the attempt again, although its end is
 * stored and the task may be running elsewhere.
 */
public final class CommandChannel {
    private static final int FENCE_BITS = 20;
    private static final long NO_TOKEN = 0;

    private long epoch;
    private int fence;

    /** The launches in the direct command in flight. */
    private final Set<AttemptId> commandLaunches = new HashSet<>();
    /** The token of the direct command in flight. */
    private long commandToken = NO_TOKEN;

    private long commandSentAtMs;

    /** The launches in the response to the latest heartbeat. */
    private final Set<AttemptId> responseLaunches = new HashSet<>();
    /** The token of that response. */
    private long responseToken = NO_TOKEN;

    /** Launches with the current token whose direct command timed out. */
    private final Set<AttemptId> abandonedLaunches = new HashSet<>();

    /**
     * Returns the token of the current owner: the epoch at which it acquired the machine in the upper bits, the
     * machine's own fence counter in the lower {@link #FENCE_BITS}.
     */
    long fencingToken() {
        return (epoch << FENCE_BITS) | fence;
    }

    /**
     * Called when this controller becomes the machine's owner; the token is higher than those of all earlier owners.
     */
    void acquire(long newEpoch) {
        // The same partition map may be read again; its tokens up to the current fence were already used.
        fence = newEpoch == epoch ? fence + 1 : 0;
        epoch = newEpoch;
        abandonedLaunches.clear();
        responseLaunches.clear();
        responseToken = NO_TOKEN;
    }

    /**
     * Raises the fence: every command and response sent from now on makes the worker refuse all launches sent before.
     */
    public void raiseFence() {
        fence++;
        abandonedLaunches.clear();
    }

    /** Called when the worker began a new incarnation, in which it executes no launch of an earlier one. */
    public void onNewIncarnation() {
        commandLaunches.clear();
        responseLaunches.clear();
        abandonedLaunches.clear();
    }

    /** Returns true while a direct command is in flight. */
    public boolean isCommandInFlight() {
        return commandToken != NO_TOKEN;
    }

    /** Called when a direct command is sent. */
    public void onCommandSent(Set<AttemptId> launches, long nowMs) {
        commandToken = fencingToken();
        commandSentAtMs = nowMs;
        commandLaunches.addAll(launches);
    }

    /** Returns the time since the latest direct command was sent. */
    public long commandAgeMs(long nowMs) {
        return nowMs - commandSentAtMs;
    }

    /**
     * Called when the worker answered the direct command, or when it was never sent: no copy of it can arrive any more.
     */
    public void onCommandResolved() {
        commandToken = NO_TOKEN;
        commandLaunches.clear();
    }

    /**
     * Called when the direct command timed out; the worker may still execute it at any later time.
     *
     * @return true if it contained launches
     */
    public boolean onCommandTimedOut() {
        boolean hadLaunches = !commandLaunches.isEmpty();
        if (commandToken == fencingToken()) {
            abandonedLaunches.addAll(commandLaunches);
        }
        onCommandResolved();
        return hadLaunches;
    }

    /** Called when the response to a heartbeat is sent. */
    public void onResponseSent(Set<AttemptId> launches) {
        responseToken = fencingToken();
        responseLaunches.clear();
        responseLaunches.addAll(launches);
    }

    /**
     * Called when the worker sent another heartbeat: it has received the response to the previous one or will drop it.
     */
    public void onResponseResolved() {
        responseLaunches.clear();
    }

    /**
     * Returns the token of the latest response, which the next heartbeat must show; 0 before the first under this
     * owner.
     */
    public long responseToken() {
        return responseToken;
    }

    /** Returns the launches in the latest response, which the next heartbeat must list. */
    public Set<AttemptId> responseLaunches() {
        return Collections.unmodifiableSet(responseLaunches);
    }

    /**
     * Returns true if a launch of the attempt is in flight with the current token, in a message whose outcome is still
     * to be observed.
     */
    public boolean isLaunchInFlight(AttemptId attempt) {
        return (commandToken == fencingToken() && commandLaunches.contains(attempt))
                || (responseToken == fencingToken() && responseLaunches.contains(attempt));
    }

    /**
     * Returns true if a launch of the attempt with the current token was abandoned, so that it may arrive at any time.
     */
    public boolean isLaunchAbandoned(AttemptId attempt) {
        return abandonedLaunches.contains(attempt);
    }
}
