package dewlane.core.controller;

import dewlane.core.config.Settings;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.message.Effect;
import dewlane.core.message.HandlerTable;
import dewlane.core.message.Input;
import dewlane.core.schema.ValueSizer;
import java.util.List;

/**
 * The core of one controller: takes inputs with the time of their arrival and returns the effects to carry out. It
 * reads no clock and no socket, so the same inputs at the same times always have the same effects. Not thread-safe: all
 * calls come from one thread.
 */
public final class Controller {
    private final ControllerContext context;
    private final ControllerCounters counters;
    private final MachineRegistry machines;
    private final HandlerTable<Input> handlers;
    private final SchedulingTrigger scheduling;
    private final Readiness readiness;

    /**
     * A controller that has not joined yet.
     *
     * @param seed of all random choices
     * @param sizer computes how many bytes a value takes in the store
     */
    public Controller(Settings settings, long seed, ValueSizer sizer) {
        ControllerAssembly assembly = new ControllerAssembly(settings, seed, sizer);
        this.context = assembly.context();
        this.counters = assembly.counters();
        this.machines = assembly.machines();
        this.handlers = assembly.inputHandlers();
        this.scheduling = assembly.scheduling();
        this.readiness = assembly.readiness();
    }

    /**
     * Handles one input, and runs a scheduling cycle if one is due.
     *
     * @param nowMs steady time of the arrival in milliseconds
     * @param wallMs time of day of the arrival in milliseconds
     * @return what is to be done, in this order
     */
    public List<Effect> handle(long nowMs, long wallMs, Input input) {
        context.beginInput(nowMs, wallMs);
        handlers.dispatch(input);
        scheduling.runIfDue();
        return context.takeEffects();
    }

    /** Has each command to a worker logged at debug level, with what it rests on. */
    public void setCommandLogging(boolean wanted) {
        context.setCommandLogging(wanted);
    }

    /** What this controller has done since its start, for the log. */
    public String countersSummary() {
        return counters.summary();
    }

    /** How many machines are in this controller's partition. */
    public int ownedMachineCount() {
        return machines.owned().size();
    }

    /** How many jobs a scheduling cycle has considered on average. */
    public double jobsPerCycle() {
        long cycles = counters.get(Counter.SCHEDULING_CYCLES);
        return cycles == 0 ? 0 : (double) counters.get(Counter.JOBS_CONSIDERED) / cycles;
    }

    /** True once this controller can decide about jobs. */
    public boolean isReady() {
        return readiness.isReady();
    }

    /**
     * True if the load balancer should send users here: not while this controller alone cannot reach the store. In an
     * outage for all controllers it stays true, since no other would serve better.
     */
    public boolean isHealthy() {
        return readiness.isHealthy();
    }
}
