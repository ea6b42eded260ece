package dewlane.core.scheduling;

import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.JobProgress.Outcome;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Job;
import java.util.ArrayList;
import java.util.List;

/**
 * Scans the machines of this partition once per cycle: finds those that can be given tasks, has tasks write a
 * checkpoint on those that will soon be terminated, and records the end of all attempts on those that are terminated.
 */
public final class MachineScan {
    /** Time before a machine's termination by which a checkpoint on it must be finished. */
    private static final int CHECKPOINT_MARGIN_S = 5;

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final MachineSchedulability schedulability;
    private List<Machine> schedulable = List.of();
    /** Schedulable machines whose CPUs are not all in use. */
    private List<Machine> withCapacity = List.of();

    /** Creates a scan of the registry's machines. */
    public MachineScan(ControllerContext context, MachineRegistry machines, MachineSchedulability schedulability) {
        this.context = context;
        this.machines = machines;
        this.schedulability = schedulability;
    }

    /** Returns the machines of this partition that can be given tasks, as of the latest scan. */
    List<Machine> schedulableMachines() {
        return schedulable;
    }

    /** Returns the schedulable machines whose CPUs are not all in use. */
    List<Machine> machinesWithCapacity() {
        return withCapacity;
    }

    /** Discards the result of the latest scan. Called when this controller has no partition. */
    void clear() {
        schedulable = List.of();
        withCapacity = List.of();
    }

    /** Scans all machines of this partition. */
    void run() {
        schedulable = new ArrayList<>();
        withCapacity = new ArrayList<>();
        for (Machine machine : machines.owned()) {
            if (schedulability.isSchedulable(machine)) {
                schedulable.add(machine);
                if (machine.usage().cpus() < machines.type(machine).cpus()) {
                    withCapacity.add(machine);
                }
            }
            if (machine.lifecycle().isTerminationScheduled()) {
                checkpointBeforeTermination(machine);
            }
            if (!machine.attempts().isEmpty() && machines.isTerminated(machine.name())) {
                recordLostAttempts(machine);
            }
        }
    }

    /** Records the end of all attempts on a machine that is proven terminated. */
    private void recordLostAttempts(Machine machine) {
        for (AssignedAttempt attempt : machine.attempts()) {
            machines.progress().getOrCreate(attempt.job().id()).recordOutcome(attempt, Outcome.GONE, context.nowMs());
        }
    }

    /** Preempts tasks on a machine that will soon be terminated, as late as a checkpoint can still be finished. */
    private void checkpointBeforeTermination(Machine machine) {
        for (AssignedAttempt attempt : machine.attempts()) {
            Job job = attempt.job().job();
            if (job.checkpointIntervalS() > 0
                    && isCheckpointDue(machine, job)
                    && machine.commands().preempt(attempt.id(), job.checkpointDurationS() + 1)) {
                machines.markChanged(machine);
            }
        }
    }

    private boolean isCheckpointDue(Machine machine, Job job) {
        double neededMs = (job.checkpointDurationS() + CHECKPOINT_MARGIN_S) * 1000;
        return machine.lifecycle().msUntilTermination(context.nowMs()) < neededMs;
    }
}
