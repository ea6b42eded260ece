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
import dewlane.core.job.JobMemory;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.membership.Membership;
import dewlane.core.membership.PeerTable;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.HandlerTable;
import dewlane.core.message.Input;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.quota.QuotaRebalancer;
import dewlane.core.quota.QuotaTransferPlanner;
import dewlane.core.scheduling.MachineSchedulability;
import dewlane.core.scheduling.PartitionSelector;
import dewlane.core.scheduling.SchedulingCycle;
import dewlane.core.scheduling.SliceAssigner;
import dewlane.core.schema.ValueSizer;
import dewlane.core.store.JobResultReader;
import dewlane.core.store.ReadBarrier;
import dewlane.core.store.ReplicaFreshness;
import dewlane.core.store.StoreConnectivity;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.StoreWatcher;
import dewlane.core.store.TransactionQueue;
import dewlane.core.worker.CommandDispatcher;
import dewlane.core.worker.CommandPlanner;
import dewlane.core.worker.FailureDetector;
import dewlane.core.worker.HeartbeatAdmission;
import dewlane.core.worker.HeartbeatHandler;
import java.util.List;

/** Builds the subsystems of one controller in the order of their dependencies, and connects them. */
final class ControllerAssembly {
    private final ControllerContext context;
    private final ValueSizer sizer;
    private final ControllerCounters counters = new ControllerCounters();
    private final ReplicaListeners replicaListeners = new ReplicaListeners();
    private final StoreReplica replica = new StoreReplica(replicaListeners);
    private final DependencyGraph dependencyGraph = new DependencyGraph();
    private final StoreConnectivity storeConnectivity;
    private final ReplicaFreshness freshness;
    private final CancellationTracker cancellations;
    private final TransactionQueue transactions;
    private final PeerTable peers;
    private final MachineRegistry machines;
    private final Membership membership;
    private final AuthorityMonitor authority;
    private final JobResultReader resultReader;
    private final DependencyTracker dependencies;
    private final JobMemory jobMemory;
    private final QuotaEnforcer quota;
    private final PartitionCapacity partitionCapacity;
    private final PartitionSelector partitions;
    private final SchedulingCycle schedulingCycle;
    private final CommandDispatcher commands;
    private final ReadBarrier barrier;
    private final StoreWatcher storeWatcher;
    private final Autoscaler autoscaler;
    private final ScaleIn scaleIn;
    private final SchedulingTrigger scheduling;

    ControllerAssembly(Settings settings, long seed, ValueSizer sizer) {
        this.context = new ControllerContext(settings, seed);
        this.sizer = sizer;
        storeConnectivity = new StoreConnectivity(context);
        freshness = new ReplicaFreshness(context);
        cancellations = new CancellationTracker(context);
        transactions = new TransactionQueue(context, counters, sizer);
        peers = new PeerTable(context, replica);
        machines = new MachineRegistry(context, replica, peers);
        membership = new Membership(context, replica, storeConnectivity, peers, transactions, sizer);
        authority = new AuthorityMonitor(context, membership, storeConnectivity, freshness);
        resultReader = new JobResultReader(context, replica);
        dependencies = new DependencyTracker(context, replica, dependencyGraph, resultReader);
        jobMemory = new JobMemory(context, replica, dependencyGraph, counters);
        quota = new QuotaEnforcer(settings, replica, machines);
        partitionCapacity = new PartitionCapacity(context, replica, machines);
        partitions = new PartitionSelector(context, replica, partitionCapacity, quota, dependencyGraph);
        MachineSchedulability schedulability = new MachineSchedulability(context, replica, machines);
        schedulingCycle = new SchedulingAssembly(
                        context, replica, machines, schedulability, membership, transactions, counters)
                .cycle(quota, partitions, dependencyGraph, dependencies, cancellations, sizer);
        commands = commandDispatcher();
        AutoscalingAssembly autoscaling = new AutoscalingAssembly(
                context, replica, machines, schedulability, membership, transactions, dependencyGraph);
        autoscaler = autoscaling.autoscaler(quota);
        scaleIn = autoscaling.scaleIn(authority);
        barrier = new ReadBarrier(context, replica);
        storeWatcher = new StoreWatcher(context, replica, storeConnectivity, freshness, barrier, counters);
        scheduling = new SchedulingTrigger(context, dependencies, schedulingCycle, commands);
        listenToReplica();
    }

    private CommandDispatcher commandDispatcher() {
        CommandPlanner planner =
                new CommandPlanner(context, replica, machines.progress(), cancellations, authority, counters);
        return new CommandDispatcher(context, replica, machines, membership, counters, planner);
    }

    /** Registers the listeners in order: a listener may use state that an earlier one derived from the same change. */
    private void listenToReplica() {
        replicaListeners.add(machines::onReplicaChange);
        replicaListeners.add(cancellations::onReplicaChange);
        replicaListeners.add(dependencies::onReplicaChange);
        replicaListeners.add(new ReplicaChangeLog(context, counters)::onReplicaChange);
    }

    /** Returns the context that all subsystems share. */
    ControllerContext context() {
        return context;
    }

    /** Returns the counters of all subsystems. */
    ControllerCounters counters() {
        return counters;
    }

    /** Returns the registry of machines. */
    MachineRegistry machines() {
        return machines;
    }

    /** Returns the estimate of the memory that the stored jobs take. */
    JobMemory jobMemory() {
        return jobMemory;
    }

    /** Returns the trigger of scheduling cycles. */
    SchedulingTrigger scheduling() {
        return scheduling;
    }

    /** Builds the readiness and health checks. */
    Readiness readiness() {
        return new Readiness(storeWatcher, membership, machines, storeConnectivity, freshness, peers);
    }

    /** Builds the table of handlers of all inputs. */
    HandlerTable<Input> inputHandlers() {
        HandlerTable<Input> handlers = new HandlerTable<>(Input.class);
        periodicTasks().register(handlers);
        new WorkerInputHandlers(heartbeatHandler(), scheduling).register(handlers);
        userInputs().register(handlers);
        new WatchInputHandlers(storeWatcher, scheduling).register(handlers);
        new StoreInputHandlers(storeConnectivity, transactions, resultReader, barrier, membership, scheduling)
                .register(handlers);
        new CloudInputHandlers(machines, autoscaler, scheduling).register(handlers);
        new PeerInputHandlers(peers, machines, membership, cancellations, replica, scheduling).register(handlers);
        handlers.requireComplete();
        return handlers;
    }

    private HeartbeatHandler heartbeatHandler() {
        HeartbeatAdmission admission =
                new HeartbeatAdmission(context, machines, peers, membership, authority, counters);
        return new HeartbeatHandler(context, replica, machines, admission, commands, counters);
    }

    private UserInputHandlers userInputs() {
        UserResponses responses = new UserResponses(context);
        JobLookup lookup = new JobLookup(replica, dependencies, barrier, resultReader, responses);
        JobStatusHandler statuses = new JobStatusHandler(lookup, dependencies, responses);
        CancellationWriter cancellationWriter =
                new CancellationWriter(context, replica, transactions, cancellations, sizer);
        SliceAssigner assigner = new SliceAssigner(context, machines, partitions);
        SubmissionHandler submissions = new SubmissionHandler(
                membership,
                statuses,
                new JobValidator(context.settings(), machines),
                new DependencyLookup(replica, dependencies, barrier, resultReader),
                new NewJobWriter(context, replica, transactions, assigner, sizer, jobMemory),
                responses);
        return new UserInputHandlers(
                submissions, statuses, new CancellationHandler(lookup, cancellationWriter, responses));
    }

    private PeriodicTasks periodicTasks() {
        PeerStatusBroadcaster broadcaster =
                new PeerStatusBroadcaster(context, replica, membership, freshness, cancellations, schedulingCycle);
        FailureDetector failureDetector =
                new FailureDetector(context, replica, machines, membership, transactions, cancellations);
        QuotaTransferPlanner transferPlanner =
                new QuotaTransferPlanner(context.settings(), replica, quota, partitionCapacity);
        QuotaRebalancer quotaRebalancer =
                new QuotaRebalancer(context, replica, membership, authority, dependencyGraph, transferPlanner);
        List<Runnable> everyTick = List.of(
                storeWatcher::tick,
                () -> membership.tick(storeWatcher.isCaughtUp()),
                transactions::sendPending,
                barrier::tick,
                () -> dependencies.tick(storeWatcher.isCaughtUp()),
                scheduling::requestIfIdle,
                broadcaster::announceCancellations);
        List<Runnable> everySecond = List.of(
                this::shareWriteRate,
                jobMemory::recount,
                authority::tick,
                failureDetector::tick,
                commands::tick,
                autoscaler::tick,
                quotaRebalancer::tick,
                scaleIn::tick,
                broadcaster::broadcastIfDue);
        return new PeriodicTasks(context, everyTick, everySecond);
    }

    /** Divides the store's write rate by the number of controllers in the partition map. */
    private void shareWriteRate() {
        if (replica.partitionMap() != null) {
            transactions.setControllerCount(replica.partitionMap().members().size());
        }
    }
}
