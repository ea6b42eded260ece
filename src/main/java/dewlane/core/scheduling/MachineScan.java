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
 * Looks at the machines of this partition once a cycle: finds those that can be given tasks, has tasks checkpoint on
 * those that are soon terminated, and records what was lost with those that are.
 */
public final class MachineScan {
    /** How long before a machine's termination a checkpoint on it must have ended. */
    private static final int CHECKPOINT_MARGIN_S = 5;

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final MachineSchedulability schedulability;
    private List<Machine> schedulable = List.of();
    /** Schedulable machines whose CPUs are not all in use. */
    private List<Machine> withCapacity = List.of();

    /** Surveys the registry's machines. */
    public MachineScan(ControllerContext context, MachineRegistry machines, MachineSchedulability schedulability) {
        this.context = context;
        this.machines = machines;
        this.schedulability = schedulability;
    }

    /** Machines of this partition that can be given tasks, as of the latest survey. */
    List<Machine> schedulableMachines() {
        return schedulable;
    }

    /** Schedulable machines whose CPUs are not all in use. */
    List<Machine> machinesWithCapacity() {
        return withCapacity;
    }

    /** Forgets the latest survey: this controller has no partition. */
    void clear() {
        schedulable = List.of();
        withCapacity = List.of();
    }

    /** Looks at all machines of this partition. */
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

    /** All attempts on a machine that is proven terminated have ended. */
    private void recordLostAttempts(Machine machine) {
        for (AssignedAttempt attempt : machine.attempts()) {
            machines.progress().getOrCreate(attempt.job().id()).recordOutcome(attempt, Outcome.GONE, context.nowMs());
        }
    }

    /** Tasks on a machine that is soon terminated write a checkpoint, as late as is safe. */
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
