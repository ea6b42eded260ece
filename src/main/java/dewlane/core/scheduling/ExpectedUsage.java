package dewlane.core.scheduling;

import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.Machine;
import dewlane.core.model.AttemptId;
import dewlane.core.model.Job;
import dewlane.core.model.ResourceUsage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the resources that will be in use on machines once all pending preemptions have ended, including reservations
 * for the jobs for which tasks are preempted.
 */
final class ExpectedUsage {
    /** Expected usage of machines, as far as it differs from their current usage. */
    private final Map<Machine, ResourceUsage> expectedUsage = new HashMap<>();

    private final List<Machine> reservedMachines = new ArrayList<>();

    /**
     * Begins a cycle with the machines that can be given tasks. Drops all reservations, and releases the resources of
     * tasks on these machines whose preemption is pending.
     */
    void beginCycle(List<Machine> machines) {
        expectedUsage.clear();
        reservedMachines.forEach(Machine::clearReservations);
        reservedMachines.clear();
        for (Machine machine : machines) {
            for (AttemptId id : machine.commands().preempted()) {
                AssignedAttempt attempt = machine.attempt(id);
                if (attempt != null && !attempt.hasEnded()) {
                    release(machine, attempt.job().job());
                }
            }
        }
    }

    /** Returns the usage of the machine once preemptions have ended, including reservations. */
    ResourceUsage usageOf(Machine machine) {
        return expectedUsage.getOrDefault(machine, machine.usage());
    }

    /** Releases the resources of one task of the job that is preempted on the machine. */
    void release(Machine machine, Job job) {
        expectedUsageOf(machine).remove(job);
    }

    /** Reserves capacity for one task of the job, so that no later job of this cycle uses it. */
    void reserve(Machine machine, Job job) {
        expectedUsageOf(machine).add(job);
        machine.reserve(job);
        reservedMachines.add(machine);
    }

    private ResourceUsage expectedUsageOf(Machine machine) {
        return expectedUsage.computeIfAbsent(machine, m -> new ResourceUsage(m.usage()));
    }
}
