package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/**
 * The fencing token of the commands to one machine, the launches that were sent with it, and the messages in flight.
 *
 * <p>A direct command may be lost, arrive late, or be carried out more than once at any later time, whether it was
 * answered or not; only the worker's fencing token and incarnation end that. A response to a heartbeat is carried out
 * at most once: by the time the worker sends its next heartbeat, it has either received the response or drops it.
 *
 * <p>Invariant: a worker is told to forget an attempt only with a token that is higher than those of all launches of
 * the attempt that were ever sent. Otherwise a copy of one of them would start the attempt again, although its end is
 * stored and the task may be running elsewhere. The launches of earlier owners and of earlier starts of this controller
 * had lower tokens than those of the current owner, so only launches with the current token are remembered.
 */
public final class CommandChannel {
    private static final int FENCE_BITS = 20;
    private static final int MAX_FENCE = (1 << FENCE_BITS) - 1;
    /** How many raises of one epoch are kept for launches that must not be executed any more. */
    private static final int RESERVED_RAISES = 1 << 16;

    private static final long NO_TOKEN = 0;

    private long epoch;
    private int fence;

    /** The attempts of which a launch was sent with the current token. */
    private final Set<AttemptId> launchedWithToken = new HashSet<>();

    private boolean commandInFlight;
    private boolean commandHasLaunches;
    private long commandSentAtMs;

    /** The launches in the response to the latest heartbeat. */
    private final Set<AttemptId> responseLaunches = new HashSet<>();
    /** The token of that response. */
    private long responseToken = NO_TOKEN;

    /**
     * Returns the token of the current owner: the epoch at which it acquired the machine in the upper bits, the
     * machine's own fence counter in the lower {@link #FENCE_BITS}.
     */
    long fencingToken() {
        return (epoch << FENCE_BITS) | fence;
    }

    /** Returns the epoch of the partition map under which the current owner acquired the machine. */
    public long epoch() {
        return epoch;
    }

    /**
     * Called when this controller becomes the machine's owner; the token is higher than those of all earlier owners.
     */
    void acquire(long newEpoch) {
        if (newEpoch == epoch) {
            // The same partition map was read again; its tokens up to the current fence were already used.
            raiseFence();
        } else {
            epoch = newEpoch;
            fence = 0;
            launchedWithToken.clear();
        }
        responseLaunches.clear();
        responseToken = NO_TOKEN;
    }

    /**
     * Raises the fence: every command and response sent from now on makes the worker refuse all launches sent before.
     * The highest token of an epoch is kept, since the next one would be a token of the next epoch.
     */
    public void raiseFence() {
        if (fence < MAX_FENCE) {
            fence++;
            launchedWithToken.clear();
        }
    }

    /** Returns true if the epoch has enough tokens left to raise the fence for forgets. */
    boolean mayRaiseForForgets() {
        return fence < MAX_FENCE - RESERVED_RAISES;
    }

    /** Called when the worker began a new incarnation, in which it executes no launch of an earlier one. */
    public void onNewIncarnation() {
        launchedWithToken.clear();
        responseLaunches.clear();
    }

    /** Returns true while a direct command is in flight. */
    public boolean isCommandInFlight() {
        return commandInFlight;
    }

    /** Called when a direct command is sent. */
    public void onCommandSent(Set<AttemptId> launches, long nowMs) {
        commandInFlight = true;
        commandHasLaunches = !launches.isEmpty();
        commandSentAtMs = nowMs;
        launchedWithToken.addAll(launches);
    }

    /** Returns the time since the latest direct command was sent. */
    public long commandAgeMs(long nowMs) {
        return nowMs - commandSentAtMs;
    }

    /**
     * Called when the direct command was answered, timed out or was never sent. Copies of it may still be carried out
     * at any later time.
     *
     * @return true if it contained launches
     */
    public boolean onCommandCompleted() {
        commandInFlight = false;
        return commandHasLaunches;
    }

    /** Called when the response to a heartbeat is sent. */
    public void onResponseSent(Set<AttemptId> launches) {
        responseToken = fencingToken();
        responseLaunches.clear();
        responseLaunches.addAll(launches);
        launchedWithToken.addAll(launches);
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
     * Returns true if the attempt may be forgotten with the current token: no launch of it was sent with that token, so
     * the worker refuses every copy of those that were sent.
     */
    public boolean mayForget(AttemptId attempt) {
        return !launchedWithToken.contains(attempt);
    }
}
