package dewlane.core.worker;

import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.JobProgress;
import dewlane.core.fleet.JobProgress.Outcome;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.CancellationTracker;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.membership.Membership;
import dewlane.core.membership.PeerTable;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.AttemptId;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Heartbeat.Phase;
import dewlane.core.model.Heartbeat.TaskStatus;
import dewlane.core.model.MachineType;
import dewlane.core.model.WorkerCommand;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Speaks to the workers of this controller's part: takes reports, gives orders, and finds proof that an attempt is
 * gone. All orders follow from the replica and the latest report, so a lost or repeated message changes nothing.
 */
public final class HeartbeatHandler {
    /** A worker that cannot reach its owner comes round again within this time. */
    private static final long STRAY_MS = 30_000;

    /** It must have come here for longer than this, and for longer still if its owner says that it hears it. */
    private static final long LEAST_STRAY_MS = 500;

    private static final long LISTED_STRAY_MS = 3500;
    private static final long OWNER_HEARD_MS = 4000;
    /** A task that its worker refused is launched again after so long. */
    private static final long REFUSED_RETRY_MS = 1000;

    private static final long SETTLE_MS = 10_000;
    /** How often a suspected machine is asked for a sign that it hears. */
    private static final long PROBE_MS = 2000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final PeerTable peers;
    private final Membership membership;
    private final AuthorityMonitor standing;
    private final ControllerCounters counters;
    private final String self;
    private final CommandPlanner planner;
    private final CommandLog orderLog;

    public HeartbeatHandler(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            PeerTable peers,
            Membership membership,
            CancellationTracker cancellations,
            AuthorityMonitor standing,
            ControllerCounters counters) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.peers = peers;
        this.membership = membership;
        this.standing = standing;
        this.counters = counters;
        this.self = context.settings().controllerName();
        this.orderLog = new CommandLog(context, replica);
        this.planner = new CommandPlanner(context, replica, machines, cancellations, standing, counters, orderLog);
    }

    /**
     * Takes a report; {@code id} 0 is one that came with the answer to a command.
     *
     * <p>A controller whose view is stale may miss a cancellation. It lets its workers' leases run out while there is
     * still time for that: see {@link Authority} and {@link CancellationTracker}.
     */
    public void onHeartbeat(long id, Heartbeat heartbeat) {
        counters.increment(Counter.HEARTBEATS);
        if (!standing.current().mayRenewWorkerLeases()) {
            counters.increment(Counter.HEARTBEATS_REJECTED);
            reject(id);
            return;
        }
        if (machines.isTerminated(heartbeat.machine())) {
            reject(id);
            return;
        }
        Machine machine = machines.getOrCreate(heartbeat.machine());
        if (!self.equals(machine.owner())) {
            if (id != 0 && cannotReachOwner(machine, heartbeat)) {
                membership.claimMachine(machine.name());
                reject(id);
            } else if (id != 0) {
                context.emit(new Effect.RedirectHeartbeat(id, machine.owner()));
            }
            return;
        }
        // Copies come late: one that is no newer than what was taken says nothing, whatever it says.
        if (heartbeat.fencingToken() > machine.fencingToken()
                || !machine.worker().precedes(heartbeat)) {
            reject(id);
            return;
        }
        apply(machine, heartbeat, id == 0);
        if (id != 0) {
            machine.reachability().reported(context.nowMs());
            machine.commandChannel().answerSettled();
            List<WorkerCommand> orders = planner.plan(machine, true);
            machine.commandChannel().answerSent(launches(orders));
            orderLog.answered(machine, orders);
            context.emit(new Effect.AnswerHeartbeat(id, machine.fencingToken(), orders));
        }
    }

    /**
     * A worker that turns up here although its owner lives cannot reach that owner: it was sent there already and has
     * come back. Without this, a cut between them lasts until its lease has run out. The second report must be newer
     * than the first and than what the owner has: late copies of old reports move no machine.
     */
    private boolean cannotReachOwner(Machine machine, Heartbeat heartbeat) {
        machines.discover(
                heartbeat.machine(), heartbeat.address(), heartbeat.type(), heartbeat.zone(), heartbeat.spot());
        if (!membership.reachesStore()
                || machine.address() == null
                || !machine.worker().precedes(heartbeat)) {
            return false;
        }
        // Workers of one that died wander until the map says who has them, and those of one that has just come have yet
        // to get there. Each take-over is a new map, which undoes every launch under way.
        if (!peers.heardWithin(machine.owner(), OWNER_HEARD_MS)
                || context.nowMs() - machine.ownerSinceMs() < SETTLE_MS) {
            machine.misroutedHeartbeats().reset();
            return false;
        }
        long strayedMs = machine.misroutedHeartbeats().record(heartbeat, context.nowMs(), STRAY_MS);
        return strayedMs > (machines.isListedByOwner(machine) ? LISTED_STRAY_MS : LEAST_STRAY_MS);
    }

    private static Set<AttemptId> launches(List<WorkerCommand> orders) {
        Set<AttemptId> launches = new HashSet<>();
        for (WorkerCommand command : orders) {
            if (command.action() == WorkerCommand.Action.LAUNCH) {
                launches.add(new AttemptId(command.job(), command.task(), command.attempt()));
            }
        }
        return launches;
    }

    private void reject(long id) {
        if (id != 0) {
            context.emit(new Effect.RejectHeartbeat(id));
        }
    }

    private void apply(Machine machine, Heartbeat heartbeat, boolean answer) {
        if (machine.worker().isUnheard()) {
            context.debug("machine " + machine.name() + " reports: " + heartbeat.type() + " " + heartbeat.zone()
                    + (heartbeat.spot() ? " spot" : ""));
        }
        if (heartbeat.incarnation() != machine.worker().incarnation()) {
            machine.commands().clear();
            machine.commandChannel().incarnationBegan();
        }
        machine.setAddress(heartbeat.address());
        machine.describe(heartbeat.type(), heartbeat.zone(), heartbeat.spot());
        machine.worker().accept(heartbeat);
        assessReachability(machine, heartbeat, answer);
        MachineType type = machines.type(machine);
        for (AssignedAttempt assigned : machine.attempts()) {
            TaskStatus status = machine.worker().task(assigned.id());
            Outcome outcome = status == null
                    ? AttemptOutcomes.ifMissing(assigned.attempt(), heartbeat)
                    : AttemptOutcomes.ofStatus(status);
            if (status != null
                    && status.phase() != Phase.EXITED
                    && type != null
                    && assigned.job().job() != null) {
                machine.images()
                        .use(assigned.job().job().image(), assigned.job().job().imageGb(), type.imageCacheGb());
            }
            if (outcome != null
                    && machines.progress()
                            .getOrCreate(assigned.job().id())
                            .recordOutcome(assigned, outcome, context.nowMs())) {
                machines.attemptEnded(machine, assigned);
                attributeFailure(machine, assigned, outcome);
            }
        }
        machines.markChanged(machine);
    }

    /**
     * Decides what the report says about whether the machine hears this controller. The answer to a command shows it. A
     * report shows it as long as they come in time and each shows what the answer to the last one gave; else the
     * machine is suspected, gets no further tasks, and is asked.
     */
    private void assessReachability(Machine machine, Heartbeat heartbeat, boolean answer) {
        long now = context.nowMs();
        boolean missed = machine.commandChannel().answerToken() > heartbeat.fencingToken();
        for (AttemptId id : machine.commandChannel().answerLaunches()) {
            AssignedAttempt assigned = machine.attempt(id);
            missed |= assigned != null
                    && assigned.attempt().incarnation() == heartbeat.incarnation()
                    && !machine.worker().reports(id);
        }
        boolean sure = answer
                || (machine.reachability().isSuspected()
                        ? machine.reachability().endsSuspicion(heartbeat.fencingToken())
                        : !missed
                                && machine.reachability()
                                        .confirmedWithin(now, context.settings().heartbeatTimeoutMs()));
        if (sure) {
            machine.reachability().confirmed(now);
            if (!replica.decommissionsByMachine().containsKey(machine.name())) {
                machine.lifecycle().withdrawScaleIn();
            }
            applyTerminationNotice(machine, heartbeat);
        } else if (!machine.reachability().isSuspected()) {
            counters.increment(Counter.SUSPICIONS);
            context.debug("machine " + machine.name() + " is heard but may not hear: "
                    + (missed ? "missed an answer" : "was silent"));
            machine.suspect(now);
        }
    }

    private void applyTerminationNotice(Machine machine, Heartbeat heartbeat) {
        if (Double.isNaN(heartbeat.terminationNoticeS())) {
            machine.lifecycle().cancelTermination();
        } else {
            if (!machine.lifecycle().isTerminationScheduled()) {
                context.info("machine " + machine.name() + " is to be taken away in " + heartbeat.terminationNoticeS()
                        + " s");
            }
            machine.lifecycle().scheduleTermination(context.nowMs() + (long) (heartbeat.terminationNoticeS() * 1000));
        }
    }

    /** Tells faulty machines from faulty jobs: a machine is to blame once tasks of two jobs failed on it in a row. */
    private void attributeFailure(Machine machine, AssignedAttempt assigned, Outcome outcome) {
        context.debug(assigned.job().id() + "/" + assigned.attempt().task() + " #"
                + assigned.attempt().number() + " on " + machine.name() + ": " + outcome);
        if (outcome == Outcome.DONE) {
            machine.clearFailedJobs();
        } else if (outcome == Outcome.ERROR) {
            machine.addFailedJob(assigned.job().id());
            JobProgress work = machines.progress().getOrCreate(assigned.job().id());
            work.recordFailure(machine.name(), context.nowMs());
            context.info("task " + assigned.job().id() + "/"
                    + assigned.attempt().task() + " failed on " + machine.name() + " ("
                    + work.failureCount() + " failures of the job, "
                    + machine.failedJobs().size()
                    + " jobs on the machine)");
        } else if (outcome == Outcome.REFUSED) {
            machines.progress().getOrCreate(assigned.job().id()).retryNotBefore(context.nowMs() + REFUSED_RETRY_MS);
        }
    }

    /** Sends what is new straight to the workers; the answers to their reports repeat it. */
    public void sendCommands() {
        if (!membership.isMember() || machines.changed().isEmpty()) {
            return;
        }
        List<Machine> later = new ArrayList<>();
        for (Machine machine : machines.changed()) {
            if (machine.address() == null || machine.worker().incarnation() == 0) {
                continue;
            }
            if (machine.commandChannel().isCommandInFlight()) {
                later.add(machine);
                continue;
            }
            List<WorkerCommand> orders = planner.plan(machine, false);
            boolean urgent = orders.stream().anyMatch(command -> command.action() != WorkerCommand.Action.FORGET);
            boolean probe = machine.reachability().probeDue(context.nowMs(), PROBE_MS)
                    && (!machine.reachability().tokenTold()
                                    && !machine.attempts().isEmpty()
                            || machine.worker().sequence() > 0);
            if (urgent || probe) {
                counters.increment(Counter.COMMANDS);
                counters.add(Counter.PROBES, probe ? 1 : 0);
                if (probe) {
                    machine.reachability().probed(context.nowMs());
                }
                machine.reachability().tokenSent();
                for (WorkerCommand command : orders) {
                    machine.commands()
                            .commanded(
                                    new AttemptId(command.job(), command.task(), command.attempt()), context.nowMs());
                }
                machine.commandChannel().commandSent(launches(orders), context.nowMs());
                orderLog.commanded(machine, orders);
                context.emit(new Effect.SendCommands(
                        machine.name(),
                        machine.address(),
                        machine.worker().incarnation(),
                        machine.fencingToken(),
                        orders));
            }
        }
        machines.changed().clear();
        machines.changed().addAll(later);
    }

    /** Looks again at suspected machines, or ones with tasks that are still to show: an order may have been lost. */
    public void tick() {
        for (Machine machine : machines.owned()) {
            if (machine.reachability().isSuspected()
                    || !machine.commands().preempted().isEmpty()
                    || machine.attempts().stream()
                            .anyMatch(assigned ->
                                    !assigned.hasEnded() && !machine.worker().reports(assigned.id()))) {
                machines.markChanged(machine);
            }
        }
    }

    /** A direct command was answered, abandoned or never sent. */
    public void onCommandCompleted(Input.CommandCompleted in) {
        Machine machine = machines.get(in.machine());
        if (machine == null) {
            return;
        }
        orderLog.commandCompleted(machine, in);
        if (in.heartbeat() != null) {
            machine.commandChannel().commandSettled();
            onHeartbeat(0, in.heartbeat());
        } else if (in.delivered()) {
            counters.add(Counter.LAUNCHES_ABANDONED, machine.commandChannel().commandAbandoned() ? 1 : 0);
        } else {
            machine.commandChannel().commandSettled();
        }
    }
}
