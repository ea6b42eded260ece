package dewlane.core.worker;

import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.JobProgress.Outcome;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Heartbeat.Phase;
import dewlane.core.model.Heartbeat.TaskStatus;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;

/**
 * Records what a heartbeat proves about the attempts that the store assigns to a machine: their outcomes, which are
 * then to be made durable, and the images that the machine must hold by now.
 */
final class OutcomeRecorder {
    private final ControllerContext context;
    private final MachineRegistry machines;
    private final ControllerCounters counters;
    private final FailureAttribution failures;

    OutcomeRecorder(ControllerContext context, MachineRegistry machines, ControllerCounters counters) {
        this.context = context;
        this.machines = machines;
        this.counters = counters;
        this.failures = new FailureAttribution(context, machines.progress());
    }

    /**
     * Records what the machine's latest heartbeat proves; the machine's worker state must already be updated from it.
     */
    void record(Machine machine, Heartbeat heartbeat) {
        MachineType type = machines.type(machine);
        for (AssignedAttempt assigned : machine.attempts()) {
            TaskStatus status = machine.worker().task(assigned.id());
            recordImage(machine, type, assigned, status);
            Outcome outcome = status == null
                    ? AttemptOutcomes.ifMissing(assigned.attempt(), heartbeat)
                    : AttemptOutcomes.ofStatus(status);
            if (outcome != null) {
                recordOutcome(machine, assigned, outcome);
            }
        }
    }

    private static void recordImage(Machine machine, MachineType type, AssignedAttempt assigned, TaskStatus status) {
        Job job = assigned.job().job();
        if (status != null && status.phase() != Phase.EXITED && type != null && job != null) {
            machine.images().use(job.image(), job.imageGb(), type.imageCacheGb());
        }
    }

    private void recordOutcome(Machine machine, AssignedAttempt assigned, Outcome outcome) {
        boolean first =
                machines.progress().getOrCreate(assigned.job().id()).recordOutcome(assigned, outcome, context.nowMs());
        if (first) {
            machines.onAttemptEnded(machine, assigned);
            if (outcome == Outcome.GONE
                    && assigned.attempt().incarnation() == machine.worker().incarnation()) {
                counters.increment(Counter.LAUNCHES_FENCED_OFF);
            }
            failures.onAttemptEnded(machine, assigned, outcome);
        }
    }
}
