package dewlane.core.autoscaling;

import dewlane.core.fleet.JobProgress;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.DependencyGraph;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.ResourceUsage;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.scheduling.MachineSchedulability;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Estimates the pending tasks for which neither running machines nor requested instances have capacity. */
public final class UnmetDemandEstimator {
    /** The time for which a new instance is planned to run tasks. Shorter tasks share a slot, one after the other. */
    private static final double SLOT_DURATION_S = 80;
    /** The minimum fraction of a slot that is planned for a task, however short it is. */
    private static final double MIN_SLOT_FRACTION = 0.1;
    /** A pending instance counts as capacity until this many boot times of its type have passed since its request. */
    private static final double PENDING_TIMEOUT_FACTOR = 2;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final MachineSchedulability schedulability;
    private final QuotaEnforcer quota;
    private final DependencyGraph dependencies;

    /** Creates an estimator for the jobs of the replica and the machines of the registry. */
    public UnmetDemandEstimator(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            MachineSchedulability schedulability,
            QuotaEnforcer quota,
            DependencyGraph dependencies) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.schedulability = schedulability;
        this.quota = quota;
        this.dependencies = dependencies;
    }

    /**
     * Returns the demand for which neither running machines nor requested instances have capacity, by job. It is given
     * in slots: the room for one task on a machine for {@link #SLOT_DURATION_S}.
     *
     * @param pending instances that were created but have not booted, by name
     * @param inFlight requests that the cloud has not answered yet
     */
    Map<JobEntry, Double> unmetDemand(Map<String, InstanceRequest> pending, Collection<InstanceRequest> inFlight) {
        MachineBins bins = bins(pending, inFlight);
        Map<JobEntry, Double> unmet = new LinkedHashMap<>();
        Map<String, ResourceUsage> usageByTeam = new HashMap<>();
        Set<Job.Requirements> withoutCapacity = new HashSet<>();
        for (JobEntry job : pendingJobs()) {
            int allowed = takeQuota(job, usageByTeam);
            int remaining = withoutCapacity.contains(job.requirements()) ? allowed : bins.pack(job.job(), allowed);
            if (remaining > 0) {
                withoutCapacity.add(job.requirements());
                unmet.put(job, slots(job, remaining, pending.values()));
            }
        }
        return unmet;
    }

    /** Returns how many pending tasks of the job its team's limit allows, and adds them to the team's usage. */
    private int takeQuota(JobEntry job, Map<String, ResourceUsage> usageByTeam) {
        Job spec = job.job();
        ResourceUsage usage = usageByTeam.computeIfAbsent(
                spec.team(), team -> new ResourceUsage(machines.teamUsage().usageOf(team)));
        int allowed = Math.min(job.pendingCount(), quota.capacityFor(spec, usage));
        usage.add(spec, Math.max(0, allowed));
        return allowed;
    }

    private MachineBins bins(Map<String, InstanceRequest> pending, Collection<InstanceRequest> inFlight) {
        MachineBins bins = new MachineBins();
        for (Machine machine : machines.all()) {
            MachineType type = machines.type(machine);
            if (type != null
                    && schedulability.isSchedulable(machine)
                    && machine.usage().cpus() < type.cpus()) {
                InstancePool pool = new InstancePool(type.name(), machine.zone(), machine.isSpot());
                bins.add(pool, type, new ResourceUsage(machine.usage()));
            }
        }
        pending.forEach((name, request) -> {
            MachineType type = machines.type(request.pool().type());
            if (type != null && isExpectedToBoot(name, request, type)) {
                bins.add(request.pool(), type, new ResourceUsage());
            }
        });
        for (InstanceRequest request : inFlight) {
            MachineType type = machines.type(request.pool().type());
            for (int i = 0; type != null && i < request.count(); i++) {
                bins.add(request.pool(), type, new ResourceUsage());
            }
        }
        return bins;
    }

    private boolean isExpectedToBoot(String name, InstanceRequest request, MachineType type) {
        return !replica.isDecommissioned(name)
                && context.nowMs() - request.requestedAtMs() < PENDING_TIMEOUT_FACTOR * 1000 * type.bootS();
    }

    /**
     * Returns the jobs with pending tasks that may run. Jobs that can use the fewest machine types come first; the
     * others are packed into the capacity that these leave.
     */
    private List<JobEntry> pendingJobs() {
        List<JobEntry> jobs = new ArrayList<>();
        for (JobEntry job : replica.jobs()) {
            if (job.job() != null && dependencies.isReady(job.id()) && !isFaulty(job) && job.pendingCount() > 0) {
                jobs.add(job);
            }
        }
        jobs.sort(Comparator.comparingInt(job -> machines.typeContention().usableTypeCount(job.requirements())));
        return jobs;
    }

    private boolean isFaulty(JobEntry job) {
        JobProgress progress = machines.progress().get(job.id());
        return progress != null && progress.isFaulty();
    }

    /**
     * Returns the demand of the tasks in slots. Short tasks share a slot, one after the other. If the job can run
     * neither on a machine nor on a pending instance, the demand is at least a whole machine: a smaller one could be
     * rounded down to no instance, and the job would never start.
     */
    private double slots(JobEntry job, int tasks, Collection<InstanceRequest> pending) {
        double slotsPerTask = Math.max(MIN_SLOT_FRACTION, job.job().expectedRunS() / SLOT_DURATION_S);
        double slots = tasks * Math.min(1, slotsPerTask);
        return canRunSomewhere(job, pending) ? slots : Math.max(slots, maxTasksPerMachine(job.job()));
    }

    /** Returns true if tasks of the job can run on a schedulable machine, busy or not, or on a pending instance. */
    private boolean canRunSomewhere(JobEntry job, Collection<InstanceRequest> pending) {
        Job spec = job.job();
        Job.Requirements requirements = job.requirements();
        for (Machine machine : machines.all()) {
            MachineType type = machines.type(machine);
            if (type != null
                    && type.fits(requirements)
                    && machine.isAllowedFor(spec)
                    && schedulability.isSchedulable(machine)) {
                return true;
            }
        }
        for (InstanceRequest request : pending) {
            MachineType type = machines.type(request.pool().type());
            if (type != null && type.fits(requirements) && request.pool().isAllowedFor(spec)) {
                return true;
            }
        }
        return false;
    }

    private int maxTasksPerMachine(Job job) {
        return machines.types().stream()
                .mapToInt(type -> type.capacityFor(job))
                .max()
                .orElse(1);
    }
}
