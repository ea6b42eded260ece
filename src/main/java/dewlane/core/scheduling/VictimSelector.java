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

/** Selects the tasks on a machine whose preemption makes capacity for a job and loses least work. */
final class VictimSelector {
    /**
     * Tasks to preempt on a machine.
     *
     * @param lostCpuS the work that is lost, in CPU seconds
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
     * The victims for one task of the job, none of them if it fits already.
     *
     * @param usage what is in use on the machine once preemptions under way have ended
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

    /** Tasks on the machine that the job may preempt, those first with which least work is lost. */
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

    /** CPU seconds that are lost when the task is stopped now; a checkpoint saves all but the time it takes. */
    private double lostCpuS(AssignedAttempt attempt) {
        Job job = attempt.job().job();
        double ranS = (context.wallClockMs() - attempt.attempt().launchedAtMs()) / 1000.0;
        double lostS = job.checkpointIntervalS() > 0 ? Math.min(ranS, job.checkpointDurationS()) : ranS;
        return job.cpus() * (1 + lostS);
    }
}
