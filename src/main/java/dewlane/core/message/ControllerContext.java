package dewlane.core.message;

import dewlane.core.config.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What the subsystems of one controller share: its settings, the time at which the input at hand arrived, the source of
 * random choices, and the effects so far. Used by one thread only.
 */
public final class ControllerContext {
    /** A steady time long before any other, for what has not happened yet: the time since then does not overflow. */
    public static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final Settings settings;
    private final SplittableRandom random;
    private List<Effect> effects = new ArrayList<>();
    private long nowMs;
    private long wallClockMs;
    private boolean logsCommands;

    /**
     * A context at time 0 without effects.
     *
     * @param seed of all random choices: runs with the same seed, inputs and times are the same
     */
    public ControllerContext(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Sets the times at which the input at hand arrived, in milliseconds.
     *
     * @param nowMs steady time, see {@link #nowMs()}
     * @param wallMs time of day, see {@link #wallClockMs()}
     */
    public void beginInput(long nowMs, long wallMs) {
        this.nowMs = nowMs;
        this.wallClockMs = wallMs;
    }

    /** Steady time in milliseconds since some moment of the process's own: never goes back, says nothing to others. */
    public long nowMs() {
        return nowMs;
    }

    /** Time of day in milliseconds since the epoch of Unix: comparable between controllers, may jump. */
    public long wallClockMs() {
        return wallClockMs;
    }

    /** The settings of this controller. */
    public Settings settings() {
        return settings;
    }

    /** The source of all random choices. */
    public SplittableRandom random() {
        return random;
    }

    /** Adds an effect, to be performed once the input at hand has been handled. */
    public void emit(Effect effect) {
        effects.add(effect);
    }

    /** Logs a line for operators. */
    public void info(String text) {
        effects.add(new Effect.Log(Effect.Level.INFO, text));
    }

    /** Says whether each command is to be logged; those lines cost too much to be built and thrown away. */
    public void setCommandLogging(boolean wanted) {
        logsCommands = wanted;
    }

    /** True if each command to a worker is logged. */
    public boolean isCommandLoggingEnabled() {
        return logsCommands;
    }

    /** Logs a line for those who look for a fault. */
    public void debug(String text) {
        effects.add(new Effect.Log(Effect.Level.DEBUG, text));
    }

    /** Returns the effects so far and starts a new list. */
    public List<Effect> takeEffects() {
        List<Effect> taken = effects;
        effects = new ArrayList<>();
        return taken;
    }
}
