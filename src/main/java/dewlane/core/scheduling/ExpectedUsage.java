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
 * What is in use on machines once the preemptions under way have ended, and what is reserved there for the jobs for
 * which they are made.
 */
final class ExpectedUsage {
    /** Expected usage of the machines on which it differs from the present one. */
    private final Map<Machine, ResourceUsage> expectedUsage = new HashMap<>();

    private final List<Machine> reservedMachines = new ArrayList<>();

    /** Begins a cycle with the machines that can be given tasks: drops all reservations. */
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

    /** What is in use on the machine once preemptions have ended, reservations included. */
    ResourceUsage usageOf(Machine machine) {
        return expectedUsage.getOrDefault(machine, machine.usage());
    }

    /** One task of the job on the machine is preempted. */
    void release(Machine machine, Job job) {
        expectedUsageOf(machine).remove(job);
    }

    /** Reserves capacity for one task of the job: no job later in the order gets it in the meantime. */
    void reserve(Machine machine, Job job) {
        expectedUsageOf(machine).add(job);
        machine.reserve(job);
        reservedMachines.add(machine);
    }

    private ResourceUsage expectedUsageOf(Machine machine) {
        return expectedUsage.computeIfAbsent(machine, m -> new ResourceUsage(m.usage()));
    }
}
