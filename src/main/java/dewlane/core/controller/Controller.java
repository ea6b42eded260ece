package dewlane.core.controller;

import dewlane.core.admission.CancellationHandler;
import dewlane.core.admission.CancellationWriter;
import dewlane.core.admission.DependencyLookup;
import dewlane.core.admission.JobLookup;
import dewlane.core.admission.JobStatusHandler;
import dewlane.core.admission.JobValidator;
import dewlane.core.admission.NewJobWriter;
import dewlane.core.admission.SubmissionHandler;
import dewlane.core.admission.UserResponses;
import dewlane.core.autoscaling.Autoscaler;
import dewlane.core.autoscaling.ScaleIn;
import dewlane.core.config.Settings;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.fleet.PartitionCapacity;
import dewlane.core.job.CancellationTracker;
import dewlane.core.job.DependencyGraph;
import dewlane.core.job.DependencyTracker;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.membership.Membership;
import dewlane.core.membership.PeerTable;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.PeerStatus;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.quota.QuotaRebalancer;
import dewlane.core.quota.QuotaTransferPlanner;
import dewlane.core.scheduling.PartitionSelector;
import dewlane.core.scheduling.SchedulingCycle;
import dewlane.core.scheduling.SliceAssigner;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.ValueSizer;
import dewlane.core.store.JobEntry;
import dewlane.core.store.JobResultReader;
import dewlane.core.store.ReadBarrier;
import dewlane.core.store.ReplicaChange;
import dewlane.core.store.ReplicaFreshness;
import dewlane.core.store.StoreConnectivity;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.StoreWatcher;
import dewlane.core.store.TransactionQueue;
import dewlane.core.store.UnreadableValueLog;
import dewlane.core.worker.CommandDispatcher;
import dewlane.core.worker.CommandPlanner;
import dewlane.core.worker.FailureDetector;
import dewlane.core.worker.HeartbeatAdmission;
import dewlane.core.worker.HeartbeatHandler;
import java.util.List;

/**
 * The core of one controller: takes messages with the time of their arrival and gives back what is to be done. It reads
 * no clock and no socket, so the same messages at the same times always have the same effects.
 */
public final class Controller {
    /** Messages that come close together are answered by one pass; with no news there is one now and then. */
    private static final long PASS_MS = 80;

    private static final long QUIET_PASS_MS = 300;
    private static final long SLOW_MS = 1000;

    private final ControllerContext context;
    private final StoreReplica replica = new StoreReplica(this::follow);
    private final ControllerCounters counters = new ControllerCounters();
    private final DependencyGraph release = new DependencyGraph();
    private final TransactionQueue transactions;
    private final StoreConnectivity connectivity;
    private final Membership membership;
    private final CancellationTracker cancellations;
    private final AuthorityMonitor standing;
    private final MachineRegistry machines;
    private final PeerTable peers;
    private final CommandDispatcher commands;
    private final HeartbeatHandler heartbeats;
    private final SchedulingCycle placement;
    private final DependencyTracker dependencies;
    private final StoreInputDispatcher storeInputs;
    private final SubmissionHandler submissions;
    private final FailureDetector failureDetector;
    private final Autoscaler autoscaler;
    private final JobStatusHandler statuses;
    private final CancellationHandler cancellationHandler;
    private final ReadBarrier barrier;
    private final StoreWatcher state;
    private final QuotaRebalancer rebalancer;
    private final ScaleIn scaleDown;
    private final PeerStatusBroadcaster broadcast;
    private final UnreadableValueLog unreadableLog;
    private boolean dirty;
    private long passedAt = Long.MIN_VALUE / 2;
    private long slowAt = Long.MIN_VALUE / 2;

    public Controller(Settings settings, long seed, ValueSizer size) {
        context = new ControllerContext(settings, seed);
        unreadableLog = new UnreadableValueLog(context, counters);
        connectivity = new StoreConnectivity(context);
        ReplicaFreshness freshness = new ReplicaFreshness(context);
        cancellations = new CancellationTracker(context);
        transactions = new TransactionQueue(context, counters, size);
        peers = new PeerTable(context, replica);
        machines = new MachineRegistry(context, replica, peers);
        membership = new Membership(context, replica, connectivity, peers, transactions, size);
        standing = new AuthorityMonitor(context, membership, connectivity, freshness);
        JobResultReader finals = new JobResultReader(context, replica);
        dependencies = new DependencyTracker(context, replica, release, finals);
        QuotaEnforcer quota = new QuotaEnforcer(settings, replica, machines);
        PartitionCapacity capacity = new PartitionCapacity(context, replica, machines);
        PartitionSelector partitions = new PartitionSelector(context, replica, capacity, quota, release);
        SliceAssigner sliceAssigner = new SliceAssigner(context, machines, partitions);
        rebalancer = quotaRebalancer(quota, capacity);
        placement = new SchedulingAssembly(context, replica, machines, membership, transactions, counters)
                .cycle(quota, partitions, release, dependencies, cancellations, size);
        commands = commandDispatcher();
        HeartbeatAdmission admission = new HeartbeatAdmission(context, machines, peers, membership, standing, counters);
        heartbeats = new HeartbeatHandler(context, replica, machines, admission, commands, counters);
        failureDetector = new FailureDetector(context, replica, machines, membership, transactions, cancellations);
        broadcast = new PeerStatusBroadcaster(context, replica, membership, cancellations, placement);
        AutoscalingAssembly autoscaling =
                new AutoscalingAssembly(context, replica, machines, membership, transactions, release);
        autoscaler = autoscaling.autoscaler(quota);
        scaleDown = autoscaling.scaleIn(standing);
        barrier = new ReadBarrier(context, replica);
        state = new StoreWatcher(context, replica, connectivity, freshness, barrier, counters);
        storeInputs = new StoreInputDispatcher(connectivity, state, transactions, finals, barrier, membership);
        UserResponses responses = new UserResponses(context);
        JobLookup lookup = new JobLookup(replica, dependencies, barrier, finals, responses);
        statuses = new JobStatusHandler(lookup, dependencies, responses);
        cancellationHandler = new CancellationHandler(
                lookup, new CancellationWriter(context, replica, transactions, cancellations, size), responses);
        submissions = new SubmissionHandler(
                membership,
                statuses,
                new JobValidator(settings, machines),
                new DependencyLookup(replica, dependencies, barrier, finals),
                new NewJobWriter(context, replica, transactions, sliceAssigner, size),
                responses);
    }

    private QuotaRebalancer quotaRebalancer(QuotaEnforcer quota, PartitionCapacity capacity) {
        QuotaTransferPlanner planner = new QuotaTransferPlanner(context.settings(), replica, quota, capacity);
        return new QuotaRebalancer(context, replica, membership, standing, release, planner);
    }

    private CommandDispatcher commandDispatcher() {
        CommandPlanner planner =
                new CommandPlanner(context, replica, machines.progress(), cancellations, standing, counters);
        return new CommandDispatcher(context, replica, machines, membership, counters, planner);
    }

    /** Handles one message that arrived at the given steady time and time of day. */
    public List<Effect> handle(long nowMs, long wallMs, Input input) {
        context.startMessage(nowMs, wallMs);
        dispatch(input);
        if (dirty && nowMs - passedAt >= PASS_MS) {
            passedAt = nowMs;
            dirty = false;
            placement.run();
            commands.sendDirectCommands();
        }
        return context.takeEffects();
    }

    /** Logs each order to a worker at debug, and what it rests on. */
    public void logCommands(boolean wanted) {
        context.logCommands(wanted);
    }

    /** What this controller has done since its start, for the log. */
    public String countersSummary() {
        return counters.summary();
    }

    /** How many machines are in this controller's part. */
    public int ownedMachineCount() {
        return machines.owned().size();
    }

    /** How many jobs a pass looked at on average. */
    public double jobsPerCycle() {
        return counters.get(Counter.SCHEDULING_CYCLES) == 0
                ? 0
                : (double) counters.get(Counter.JOBS_CONSIDERED) / counters.get(Counter.SCHEDULING_CYCLES);
    }

    /** True once this controller can decide about jobs. */
    public boolean isReady() {
        return state.isLoaded() && membership.isMember() && !machines.types().isEmpty();
    }

    /**
     * True if users had better be sent here: not while this controller alone cannot reach the state service. In an
     * outage for all it stays true, since no other would serve better.
     */
    public boolean isHealthy() {
        return isReady() && (connectivity.silenceMs() < 2500 || !peers.anyReachesStore());
    }

    private void dispatch(Input input) {
        if (input instanceof Input.Tick) {
            tick();
        } else if (input instanceof Input.PeerStatusReceived in) {
            heardPeer(in.status());
        } else {
            boolean taken = takeFromWorkers(input) || takeFromUsers(input) || takeFromStore(input);
            if (!taken) {
                takeFromCloud(input);
            }
        }
    }

    private boolean takeFromStore(Input input) {
        StoreInputDispatcher.Outcome outcome = storeInputs.dispatch(input);
        dirty |= outcome == StoreInputDispatcher.Outcome.NEWS;
        return outcome != StoreInputDispatcher.Outcome.NOT_FROM_STORE;
    }

    private boolean takeFromWorkers(Input input) {
        if (input instanceof Input.HeartbeatReceived in) {
            heartbeats.onHeartbeat(in.id(), in.heartbeat());
        } else if (input instanceof Input.CommandCompleted in) {
            heartbeats.onCommandCompleted(in);
        } else {
            return false;
        }
        dirty = true;
        return true;
    }

    private boolean takeFromUsers(Input input) {
        if (input instanceof Input.SubmitJob request) {
            submissions.onSubmit(request);
        } else if (input instanceof Input.GetJobStatus request) {
            statuses.onGetStatus(request);
        } else if (input instanceof Input.CancelJob request) {
            cancellationHandler.onCancel(request);
        } else {
            return false;
        }
        return true;
    }

    private void takeFromCloud(Input input) {
        if (input instanceof Input.MachineTypesListed in) {
            machines.setTypes(in.types());
            dirty = true;
        } else if (input instanceof Input.InstancesListed in) {
            autoscaler.onInstancesListed(in);
        } else if (input instanceof Input.InstancesCreated in) {
            autoscaler.onInstancesCreated(in);
        } else if (input instanceof Input.InstancesDeleted in) {
            autoscaler.onInstancesDeleted(in);
        }
    }

    private void tick() {
        state.tick();
        membership.tick(state.isCaughtUp());
        transactions.sendPending();
        barrier.tick();
        dependencies.tick(state.isCaughtUp());
        dirty |= context.nowMs() - passedAt >= QUIET_PASS_MS;
        broadcast.tick();
        if (context.nowMs() - slowAt >= SLOW_MS) {
            slowAt = context.nowMs();
            if (replica.partitionMap() != null) {
                transactions.shareAmong(replica.partitionMap().members().size());
            }
            standing.tick();
            failureDetector.tick();
            commands.tick();
            autoscaler.tick();
            rebalancer.tick();
            scaleDown.tick();
            broadcast.slowTick();
        }
    }

    private void heardPeer(PeerStatus status) {
        peers.update(status);
        machines.discoverFrom(status);
        membership.onPeerEpoch(status.epoch());
        for (String job : status.cancelledJobs()) {
            JobEntry entry = cancellations.onPeerConfirmed(job) ? replica.job(job) : null;
            if (entry != null) {
                machines.markChangedFor(entry);
                dirty = true;
            }
        }
    }

    /** Each change of the replica goes to those that keep something which follows from it. */
    private void follow(ReplicaChange delta) {
        machines.onReplicaChange(delta);
        cancellations.onReplicaChange(delta);
        dependencies.onReplicaChange(delta);
        if (delta instanceof ReplicaChange.SliceChanged d && d.after() != null) {
            counters.add(Counter.ATTEMPTS_SEEN, d.after().attempts().size());
        } else if (delta instanceof ReplicaChange.PartitionMapChanged d) {
            context.info("map " + d.after().epoch() + ": " + d.after().members() + ", led by "
                    + Partitioner.leaderOf(d.after()));
        } else if (delta instanceof ReplicaChange.ValueUnreadable d) {
            unreadableLog.record(d);
        }
    }
}
