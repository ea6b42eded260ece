package dewlane.core.controller;

import dewlane.core.autoscaling.Autoscaler;
import dewlane.core.autoscaling.CloudPoller;
import dewlane.core.autoscaling.DecommissionProcessor;
import dewlane.core.autoscaling.DecommissionWriter;
import dewlane.core.autoscaling.IdleMachineFinder;
import dewlane.core.autoscaling.InstanceInventory;
import dewlane.core.autoscaling.InstancePoolSelector;
import dewlane.core.autoscaling.ScaleIn;
import dewlane.core.autoscaling.ScaleOut;
import dewlane.core.autoscaling.UnmetDemandEstimator;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.DependencyGraph;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.scheduling.MachineSchedulability;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;

/** Wires the autoscaling subsystem to the parts of a controller on which all of it rests. */
record AutoscalingAssembly(
        ControllerContext context,
        StoreReplica replica,
        MachineRegistry machines,
        MachineSchedulability schedulability,
        Membership membership,
        TransactionQueue transactions,
        DependencyGraph dependencies) {

    /** The leader's management of instances. */
    Autoscaler autoscaler(QuotaEnforcer quota) {
        DecommissionWriter writer = new DecommissionWriter(context, replica, transactions);
        InstanceInventory inventory = new InstanceInventory(context, machines, writer);
        UnmetDemandEstimator demand =
                new UnmetDemandEstimator(context, replica, machines, schedulability, quota, dependencies);
        InstancePoolSelector pools = new InstancePoolSelector(context, machines);
        return new Autoscaler(
                context,
                membership,
                new CloudPoller(context, replica, machines, inventory),
                inventory,
                new DecommissionProcessor(context, replica, machines, inventory, writer),
                new ScaleOut(context, machines, inventory, demand, pools));
    }

    /** The scale-in of idle machines of this controller's partition. */
    ScaleIn scaleIn(AuthorityMonitor authority) {
        IdleMachineFinder idleMachines =
                new IdleMachineFinder(context, replica, machines, schedulability, dependencies);
        return new ScaleIn(context, replica, membership, authority, transactions, idleMachines);
    }
}
