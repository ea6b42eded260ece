package dewlane.core.scheduling;

import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.Machine;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.ResourceUsage;
import dewlane.core.store.JobEntry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Selects the tasks on a machine to preempt for a job, so that as little work as possible is lost. */
final class VictimSelector {
    /**
     * Tasks to preempt on a machine.
     *
     * @param lostCpuS the work that is lost by preempting them, in CPU seconds
     */
    record Victims(List<AssignedAttempt> attempts, double lostCpuS) {
        private static final Victims NONE = new Victims(List.of(), 0);
    }

    private final ControllerContext context;
    private final PreemptionPolicy policy;

    VictimSelector(ControllerContext context, PreemptionPolicy policy) {
        this.context = context;
        this.policy = policy;
    }

    /**
     * Selects tasks to preempt so that one task of the job fits; none if it fits already.
     *
     * @param usage what will be in use on the machine once pending preemptions have ended
     * @return empty if no preemption makes capacity for the job
     */
    Optional<Victims> select(Machine machine, MachineType type, JobEntry job, ResourceUsage usage) {
        if (usage.capacityFor(type, job.job()) > 0) {
            return Optional.of(Victims.NONE);
        }
        ResourceUsage remaining = new ResourceUsage(usage);
        List<AssignedAttempt> victims = new ArrayList<>();
        double lostCpuS = 0;
        for (AssignedAttempt attempt : preemptible(machine, job)) {
            victims.add(attempt);
            lostCpuS += lostCpuS(attempt);
            remaining.remove(attempt.job().job());
            if (remaining.capacityFor(type, job.job()) > 0) {
                return Optional.of(new Victims(victims, lostCpuS));
            }
        }
        return Optional.empty();
    }

    /** Returns the tasks on the machine that the job may preempt, those that lose the least work first. */
    private List<AssignedAttempt> preemptible(Machine machine, JobEntry job) {
        List<AssignedAttempt> attempts = new ArrayList<>();
        for (AssignedAttempt attempt : machine.attempts()) {
            if (!attempt.hasEnded()
                    && !machine.commands().isPreempted(attempt.id())
                    && machine.worker().reports(attempt.id())
                    && policy.mayPreempt(attempt, job)) {
                attempts.add(attempt);
            }
        }
        attempts.sort(Comparator.comparingDouble(this::lostCpuS));
        return attempts;
    }

    /**
     * Returns the CPU seconds that are lost if the task is stopped now. With checkpoints, only the time to write one.
     */
    private double lostCpuS(AssignedAttempt attempt) {
        Job job = attempt.job().job();
        double ranS = (context.wallClockMs() - attempt.attempt().launchedAtMs()) / 1000.0;
        double lostS = job.checkpointIntervalS() > 0 ? Math.min(ranS, job.checkpointDurationS()) : ranS;
        return job.cpus() * (1 + lostS);
    }
}
