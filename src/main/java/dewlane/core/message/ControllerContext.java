package dewlane.core.message;

import dewlane.core.config.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** What the actors of one controller share: its settings, the time of the message at hand, and the effects so far. */
public final class ControllerContext {
    private final Settings settings;
    private final SplittableRandom random;
    private List<Effect> effects = new ArrayList<>();
    private long nowMs;
    private long wallClockMs;
    private boolean logsCommands;

    public ControllerContext(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
    }

    /** Sets the times at which the message at hand arrived. */
    public void startMessage(long nowMs, long wallMs) {
        this.nowMs = nowMs;
        this.wallClockMs = wallMs;
    }

    /** Steady time in milliseconds. */
    public long nowMs() {
        return nowMs;
    }

    /** Time of day in milliseconds. */
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

    /** Adds something for the outside to do. */
    public void emit(Effect effect) {
        effects.add(effect);
    }

    /** Logs for operators. */
    public void info(String text) {
        effects.add(new Effect.Log(Effect.Level.INFO, text));
    }

    /** Whether lines that are written for each order are wanted; they cost too much to be made and thrown away. */
    public void logCommands(boolean wanted) {
        logsCommands = wanted;
    }

    /** True if each command to a worker is logged. */
    public boolean logsCommands() {
        return logsCommands;
    }

    /** Logs for those who look for a fault. */
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
