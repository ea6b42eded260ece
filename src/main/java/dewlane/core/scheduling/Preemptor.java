package dewlane.core.scheduling;

import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.Priority;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.scheduling.VictimSelector.Victims;
import dewlane.core.store.JobEntry;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Preempts tasks to make capacity for other jobs, as far as {@link PreemptionPolicy} allows. Chooses the tasks that
 * lose the least work, and reserves the capacity for the job for which they are preempted.
 */
final class Preemptor {
    /** Maximum number of machines that are considered. Of a larger set, a sample is considered. */
    private static final int MAX_SAMPLE_SIZE = 64;

    /** A machine, and the tasks to preempt on it to make capacity for one task. */
    private record Option(Machine machine, Victims victims) {
        double lostCpuS() {
            return victims.lostCpuS();
        }
    }

    /** Jobs with equal claims may preempt the same tasks. */
    private record Claim(Job.Requirements requirements, Priority priority, boolean guaranteed, String team) {}

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final PreemptionPolicy policy;
    private final VictimSelector victimSelector;
    private final ExpectedUsage expectedUsage = new ExpectedUsage();
    private List<Machine> schedulableMachines = List.of();
    /** Claims for which no tasks to preempt were found in this cycle. */
    private final Set<Claim> withoutVictims = new HashSet<>();

    Preemptor(ControllerContext context, MachineRegistry machines, QuotaEnforcer quota) {
        this.context = context;
        this.machines = machines;
        this.policy = new PreemptionPolicy(context, quota);
        this.victimSelector = new VictimSelector(context, policy);
    }

    /** Begins a cycle with the schedulable machines and the ids of the jobs within their team's guarantee. */
    void beginCycle(List<Machine> schedulable, Set<String> guaranteed) {
        schedulableMachines = schedulable;
        policy.beginCycle(guaranteed);
        expectedUsage.beginCycle(schedulable);
        withoutVictims.clear();
    }

    /** Reserves capacity for up to the given number of the job's tasks, and preempts other tasks where needed. */
    void makeCapacity(JobEntry job, int tasks) {
        Job spec = job.job();
        if (tasks < 1 || spec.hasZoneConstraint() || !policy.hasWaitedEnough(job)) {
            return;
        }
        Claim claim = new Claim(job.requirements(), job.priority(), policy.isGuaranteed(job), spec.team());
        if (withoutVictims.contains(claim)) {
            return;
        }
        PriorityQueue<Option> options = sampleOptions(job);
        for (int i = 0; i < tasks; i++) {
            Option cheapest = options.poll();
            if (cheapest == null) {
                withoutVictims.add(claim);
                return;
            }
            Machine machine = cheapest.machine;
            cheapest.victims.attempts().forEach(victim -> preempt(machine, victim, job));
            machines.markChanged(machine);
            expectedUsage.reserve(machine, spec);
            addOption(options, machine, job);
        }
    }

    /** Returns the options on a sample of the machines, those that lose the least work first. */
    private PriorityQueue<Option> sampleOptions(JobEntry job) {
        PriorityQueue<Option> options = new PriorityQueue<>(Comparator.comparingDouble(Option::lostCpuS));
        int total = schedulableMachines.size();
        int offset = total > MAX_SAMPLE_SIZE ? context.random().nextInt(total) : 0;
        for (int i = 0; i < Math.min(total, MAX_SAMPLE_SIZE); i++) {
            addOption(options, schedulableMachines.get((offset + i) % total), job);
        }
        return options;
    }

    /** Adds the option to make capacity for one more task on the machine, if that is possible. */
    private void addOption(PriorityQueue<Option> options, Machine machine, JobEntry job) {
        MachineType type = machines.type(machine);
        if (machine.isAllowedFor(job.job()) && type.fits(job.requirements())) {
            victimSelector
                    .select(machine, type, job, expectedUsage.usageOf(machine))
                    .ifPresent(victims -> options.add(new Option(machine, victims)));
        }
    }

    private void preempt(Machine machine, AssignedAttempt victim, JobEntry job) {
        Job spec = victim.job().job();
        context.debug("preempting " + victim.id().taskName() + " on " + machine.name() + " for " + job.id());
        double graceS = spec.checkpointIntervalS() > 0 ? spec.checkpointDurationS() + 1 : 0;
        machine.commands().preempt(victim.id(), graceS);
        expectedUsage.release(machine, spec);
    }
}
