package dewlane.core.autoscaling;

import dewlane.core.autoscaling.InstanceRequest.InstancePool;
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
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Estimates how much waiting work finds no room on the machines that are up or on their way. */
public final class CapacityDemand {
    /** A machine rented for a task is there for about so long; shorter tasks share its room one after the other. */
    private static final double SLOT_S = 80;
    /** The least part of a slot that a task counts for, however short it is. */
    private static final double LEAST_SLOT = 0.1;
    /** A machine on its way is counted on for so many times its boot time. */
    private static final double COUNTED_BOOTS = 2;

    /** Room on machines of one place that are up or on their way. */
    private static final class Bin {
        final MachineType type;
        final ResourceUsage use;

        Bin(MachineType type, ResourceUsage use) {
            this.type = type;
            this.use = use;
        }

        /** Takes up to the given number of tasks and says how many. */
        int take(Job job, int tasks) {
            int taken = Math.min(tasks, use.capacityFor(type, job));
            if (taken > 0) {
                use.add(job, taken);
            }
            return taken;
        }

        boolean full() {
            return use.cpus() >= type.cpus();
        }
    }

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final MachineSchedulability schedulability;
    private final QuotaEnforcer quota;
    private final DependencyGraph release;

    public CapacityDemand(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            MachineSchedulability schedulability,
            QuotaEnforcer quota,
            DependencyGraph release) {
        this.release = release;
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.schedulability = schedulability;
        this.quota = quota;
    }

    /**
     * Tasks that neither machines that are up nor those on their way have room for, in slots for a whole machine life.
     *
     * @param booting machines that are rented but not up, by name
     * @param asked rentals that the cloud has not answered yet
     */
    Map<JobEntry, Double> unmetDemand(Map<String, InstanceRequest> booting, Collection<InstanceRequest> asked) {
        Map<InstancePool, List<Bin>> bins = bins(booting, asked);
        Map<JobEntry, Double> unmet = new LinkedHashMap<>();
        Map<String, ResourceUsage> teams = new HashMap<>();
        Set<Job.Requirements> full = new HashSet<>();
        for (JobEntry job : waitingJobs()) {
            Job spec = job.job();
            ResourceUsage team = teams.computeIfAbsent(
                    spec.team(), t -> new ResourceUsage(machines.teamUsage().usageOf(t)));
            int allowed = Math.min(job.pendingCount(), quota.capacityFor(spec, team));
            team.add(spec, Math.max(0, allowed));
            int left = full.contains(job.requirements()) ? allowed : fill(bins, job, allowed);
            if (left > 0) {
                full.add(job.requirements());
                unmet.put(job, slots(job, left, booting));
            }
        }
        return unmet;
    }

    /** Room by place, so that a job looks only at machines that it may use, and each full one is dropped at once. */
    private Map<InstancePool, List<Bin>> bins(Map<String, InstanceRequest> booting, Collection<InstanceRequest> asked) {
        Map<InstancePool, List<Bin>> bins = new LinkedHashMap<>();
        for (Machine machine : machines.all()) {
            MachineType type = machines.type(machine);
            if (type != null
                    && schedulability.isSchedulable(machine)
                    && machine.usage().cpus() < type.cpus()) {
                add(
                        bins,
                        new InstancePool(type.name(), machine.zone(), machine.isSpot()),
                        new Bin(type, new ResourceUsage(machine.usage())));
            }
        }
        booting.forEach((name, rental) -> {
            MachineType type = machines.type(rental.pool().type());
            if (type != null
                    && !replica.decommissionsByMachine().containsKey(name)
                    && context.nowMs() - rental.requestedAtMs() < COUNTED_BOOTS * 1000 * type.bootS()) {
                add(bins, rental.pool(), new Bin(type, new ResourceUsage()));
            }
        });
        for (InstanceRequest rental : asked) {
            MachineType type = machines.type(rental.pool().type());
            for (int i = 0; type != null && i < rental.count(); i++) {
                add(bins, rental.pool(), new Bin(type, new ResourceUsage()));
            }
        }
        return bins;
    }

    private static void add(Map<InstancePool, List<Bin>> bins, InstancePool place, Bin bin) {
        bins.computeIfAbsent(place, p -> new ArrayList<>()).add(bin);
    }

    /** Those with the fewest types to choose from come first, and the others take what they leave. */
    private List<JobEntry> waitingJobs() {
        List<JobEntry> jobs = new ArrayList<>();
        for (JobEntry job : replica.jobs()) {
            if (job.job() != null && release.isReady(job.id()) && !faulty(job) && job.pendingCount() > 0) {
                jobs.add(job);
            }
        }
        jobs.sort(Comparator.comparingInt(j -> machines.typeContention().usableTypeCount(j.requirements())));
        return jobs;
    }

    private boolean faulty(JobEntry job) {
        JobProgress work = machines.progress().get(job.id());
        return work != null && work.isFaulty();
    }

    /** Puts tasks into the bins; returns how many find no room. */
    private static int fill(Map<InstancePool, List<Bin>> bins, JobEntry job, int tasks) {
        int left = tasks;
        for (Map.Entry<InstancePool, List<Bin>> e : bins.entrySet()) {
            InstancePool place = e.getKey();
            if (left > 0 && job.job().allows(place.type(), place.zone(), place.spot())) {
                left = fill(e.getValue(), job.job(), left);
            }
        }
        return left;
    }

    private static int fill(List<Bin> bins, Job job, int tasks) {
        int left = tasks;
        for (Iterator<Bin> i = bins.iterator(); i.hasNext() && left > 0; ) {
            Bin bin = i.next();
            left -= bin.take(job, left);
            if (bin.full()) {
                i.remove();
            }
        }
        return left;
    }

    /**
     * Short tasks share a slot one after the other while a machine is there. Where no machine would ever do, the
     * smallest demand still needs one, or the job would wait for ever.
     */
    private double slots(JobEntry job, int tasks, Map<String, InstanceRequest> booting) {
        Job spec = job.job();
        double slots = tasks * Math.min(1, Math.max(LEAST_SLOT, spec.expectedRunS() / SLOT_S));
        return hosted(spec, job.requirements(), booting) ? slots : Math.max(slots, mostOnOne(spec));
    }

    /** True if there is or soon will be a machine on which tasks of the shape can run at all. */
    private boolean hosted(Job spec, Job.Requirements shape, Map<String, InstanceRequest> booting) {
        for (Machine machine : machines.all()) {
            MachineType type = machines.type(machine);
            if (type != null
                    && type.fits(shape)
                    && spec.allows(machine.typeName(), machine.zone(), machine.isSpot())
                    && schedulability.isSchedulable(machine)) {
                return true;
            }
        }
        for (InstanceRequest rental : booting.values()) {
            InstancePool place = rental.pool();
            MachineType type = machines.type(place.type());
            if (type != null && type.fits(shape) && spec.allows(place.type(), place.zone(), place.spot())) {
                return true;
            }
        }
        return false;
    }

    private int mostOnOne(Job job) {
        return machines.types().stream()
                .mapToInt(type -> type.capacityFor(job))
                .max()
                .orElse(1);
    }
}
