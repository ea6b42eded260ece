package dewlane.core.controller;

import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.CancellationTracker;
import dewlane.core.job.DependencyGraph;
import dewlane.core.job.DependencyTracker;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.scheduling.JobFinisher;
import dewlane.core.scheduling.JobQueue;
import dewlane.core.scheduling.JobTransactions;
import dewlane.core.scheduling.JobWriter;
import dewlane.core.scheduling.LaunchGate;
import dewlane.core.scheduling.LaunchPlanner;
import dewlane.core.scheduling.MachineScan;
import dewlane.core.scheduling.MachineSchedulability;
import dewlane.core.scheduling.OutcomeBatcher;
import dewlane.core.scheduling.OversizedSliceSplitter;
import dewlane.core.scheduling.PartitionOwnership;
import dewlane.core.scheduling.PartitionSelector;
import dewlane.core.scheduling.SchedulingCycle;
import dewlane.core.scheduling.SliceGarbageCollector;
import dewlane.core.schema.ValueSizer;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;

/** Wires the scheduling subsystem to the parts of a controller on which all of it rests. */
record SchedulingAssembly(
        ControllerContext context,
        StoreReplica replica,
        MachineRegistry machines,
        MachineSchedulability schedulability,
        Membership membership,
        TransactionQueue transactions,
        ControllerCounters counters) {

    /** The scheduling cycle with all that it runs. */
    SchedulingCycle cycle(
            QuotaEnforcer quota,
            PartitionSelector partitions,
            DependencyGraph dependencyGraph,
            DependencyTracker dependencies,
            CancellationTracker cancellations,
            ValueSizer sizer) {
        PartitionOwnership ownership = new PartitionOwnership(context.settings(), replica);
        JobTransactions jobTransactions =
                new JobTransactions(context, replica, machines, transactions, quota, counters);
        LaunchPlanner planner = new LaunchPlanner(context, ownership, machines, quota, partitions, counters);
        JobWriter writer = new JobWriter(
                jobTransactions,
                new JobFinisher(context, ownership, dependencies, jobTransactions, sizer),
                new OutcomeBatcher(context, transactions, quota),
                new OversizedSliceSplitter(context, ownership, membership, transactions),
                new LaunchGate(context, transactions, cancellations, quota),
                planner);
        return new SchedulingCycle(
                membership,
                new MachineScan(context, machines, schedulability),
                new JobQueue(replica, machines, dependencyGraph, quota, ownership, counters),
                writer,
                planner,
                new SliceGarbageCollector(context, replica, transactions, ownership));
    }
}
