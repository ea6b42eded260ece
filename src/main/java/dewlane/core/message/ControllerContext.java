package dewlane.core.message;

import dewlane.core.config.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The context that the subsystems of one controller share: its settings, the arrival time of the current input, the
 * random number generator, and the effects emitted so far. Used by one thread only.
 */
public final class ControllerContext {
    /** Initial value of timestamps of events that have not happened; {@code nowMs() - NEVER_MS} does not overflow. */
    public static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final Settings settings;
    private final SplittableRandom random;
    private List<Effect> effects = new ArrayList<>();
    private long nowMs;
    private long wallClockMs;
    private boolean logsCommands;

    /**
     * Creates a context at time 0 without effects.
     *
     * @param seed seed of the random number generator; runs with equal seed, inputs and times are identical
     */
    public ControllerContext(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Sets the arrival time of the input that is handled next.
     *
     * @param nowMs monotonic time in milliseconds, see {@link #nowMs()}
     * @param wallMs wall-clock time in milliseconds, see {@link #wallClockMs()}
     */
    public void beginInput(long nowMs, long wallMs) {
        this.nowMs = nowMs;
        this.wallClockMs = wallMs;
    }

    /** Returns the monotonic time in milliseconds. Its origin is arbitrary, so it has no meaning in other processes. */
    public long nowMs() {
        return nowMs;
    }

    /** Returns the wall-clock time in milliseconds since the Unix epoch. Comparable across controllers; may jump. */
    public long wallClockMs() {
        return wallClockMs;
    }

    /** Returns the settings of this controller. */
    public Settings settings() {
        return settings;
    }

    /** Returns the random number generator, the only source of randomness in the core. */
    public SplittableRandom random() {
        return random;
    }

    /** Adds an effect, which is performed after the current input has been handled. */
    public void emit(Effect effect) {
        effects.add(effect);
    }

    /** Logs a line at info level, for operators. */
    public void info(String text) {
        effects.add(new Effect.Log(Effect.Level.INFO, text));
    }

    /** Enables or disables a log line per command. Disabled lines are not built, as building them is expensive. */
    public void setCommandLogging(boolean enabled) {
        logsCommands = enabled;
    }

    /** Returns true if each command to a worker is logged. */
    public boolean isCommandLoggingEnabled() {
        return logsCommands;
    }

    /** Logs a line at debug level, for troubleshooting. */
    public void debug(String text) {
        effects.add(new Effect.Log(Effect.Level.DEBUG, text));
    }

    /** Returns the effects emitted so far and clears the list. */
    public List<Effect> takeEffects() {
        List<Effect> taken = effects;
        effects = new ArrayList<>();
        return taken;
    }
}
