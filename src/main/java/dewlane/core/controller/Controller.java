package dewlane.core.controller;

import dewlane.core.config.Settings;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.JobMemory;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.message.Effect;
import dewlane.core.message.FailureIsolation;
import dewlane.core.message.HandlerTable;
import dewlane.core.message.Input;
import dewlane.core.schema.ValueSizer;
import java.util.List;

/**
 * The core of one controller. It takes inputs with their arrival times and returns the effects to perform. It reads no
 * clock and no socket, so the same inputs at the same times always result in the same effects. Not thread-safe: all
 * calls must come from one thread.
 */
public final class Controller {
    private final ControllerContext context;
    private final ControllerCounters counters;
    private final MachineRegistry machines;
    private final HandlerTable<Input> handlers;
    private final SchedulingTrigger scheduling;
    private final Readiness readiness;
    private final JobMemory jobMemory;

    /**
     * Creates a controller that has not joined the partition map yet.
     *
     * @param seed seed of the random number generator
     * @param sizer computes the size in bytes of a value in the store
     */
    public Controller(Settings settings, long seed, ValueSizer sizer) {
        ControllerAssembly assembly = new ControllerAssembly(settings, seed, sizer);
        this.context = assembly.context();
        this.counters = assembly.counters();
        this.machines = assembly.machines();
        this.handlers = assembly.inputHandlers();
        this.scheduling = assembly.scheduling();
        this.readiness = assembly.readiness();
        this.jobMemory = assembly.jobMemory();
    }

    /**
     * Handles one input, then runs a scheduling cycle if one is due. If either fails, the exception is thrown after
     * both have run, and the effects emitted so far are returned by the next call.
     *
     * @param nowMs monotonic arrival time in milliseconds
     * @param wallMs wall-clock arrival time in milliseconds
     * @return the effects to perform, in this order
     */
    public List<Effect> handle(long nowMs, long wallMs, Input input) {
        context.beginInput(nowMs, wallMs);
        FailureIsolation.runAll(List.of(() -> handlers.dispatch(input), scheduling::runIfDue));
        return context.takeEffects();
    }

    /** Enables or disables a debug log line per command to a worker, with the state that the command is based on. */
    public void setCommandLogging(boolean enabled) {
        context.setCommandLogging(enabled);
    }

    /** Returns the counters of this controller since its start, for the log. */
    public String countersSummary() {
        return counters.summary();
    }

    /** Returns the bytes that the stored jobs are estimated to take, of {@link JobMemory#MAX_BYTES}. */
    public long jobMemoryBytes() {
        return jobMemory.usedBytes();
    }

    /** Returns the number of machines in this controller's partition. */
    public int ownedMachineCount() {
        return machines.owned().size();
    }

    /** Returns the average number of jobs considered per scheduling cycle since the start. */
    public double jobsPerCycle() {
        long cycles = counters.get(Counter.SCHEDULING_CYCLES);
        return cycles == 0 ? 0 : (double) counters.get(Counter.JOBS_CONSIDERED) / cycles;
    }

    /** Returns true once this controller can make decisions about jobs. */
    public boolean isReady() {
        return readiness.isReady();
    }

    /**
     * Returns true if the load balancer should send user requests to this controller: it is ready, and it reaches the
     * store and has a current replica, or no peer does. In a store outage for all controllers this stays true, since no
     * other controller would serve users better.
     */
    public boolean isHealthy() {
        return readiness.isHealthy();
    }
}
