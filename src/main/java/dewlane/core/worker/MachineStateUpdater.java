package dewlane.core.worker;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.model.Heartbeat;
import dewlane.core.store.StoreReplica;

/** Updates this controller's view of a machine from an accepted heartbeat. */
final class MachineStateUpdater {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final ReachabilityAssessment reachability;
    private final OutcomeRecorder outcomes;

    MachineStateUpdater(
            ControllerContext context, StoreReplica replica, MachineRegistry machines, ControllerCounters counters) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.reachability = new ReachabilityAssessment(context, counters);
        this.outcomes = new OutcomeRecorder(context, machines, counters);
    }

    /**
     * Applies an accepted heartbeat.
     *
     * @param commandAnswer true if the heartbeat answers a direct command
     */
    void apply(Machine machine, Heartbeat heartbeat, boolean commandAnswer) {
        if (machine.worker().hasNoHeartbeat()) {
            context.debug("first heartbeat of machine " + machine.name() + ": " + heartbeat.type() + " "
                    + heartbeat.zone() + (heartbeat.spot() ? " spot" : ""));
        }
        if (heartbeat.incarnation() != machine.worker().incarnation()) {
            machine.commands().clear();
            machine.commandChannel().onNewIncarnation();
        }
        machine.setAddress(heartbeat.address());
        machine.describe(heartbeat.type(), heartbeat.zone(), heartbeat.spot());
        machine.worker().accept(heartbeat);
        machine.commands().onReported(machine.worker().tasks().keySet(), context.nowMs());
        if (reachability.assess(machine, heartbeat, commandAnswer)) {
            updateLifecycle(machine, heartbeat);
        }
        outcomes.record(machine, heartbeat);
        machines.markForPlanning(machine);
    }

    private void updateLifecycle(Machine machine, Heartbeat heartbeat) {
        if (!replica.isDecommissioned(machine.name())) {
            machine.lifecycle().withdrawScaleIn();
        }
        if (Double.isNaN(heartbeat.terminationNoticeS())) {
            machine.lifecycle().cancelTermination();
        } else {
            scheduleTermination(machine, heartbeat.terminationNoticeS());
        }
    }

    private void scheduleTermination(Machine machine, double noticeS) {
        if (!machine.lifecycle().isTerminationScheduled()) {
            context.info("machine " + machine.name() + " has a termination notice: the cloud takes it away in "
                    + noticeS + " s");
        }
        machine.lifecycle().scheduleTermination(context.nowMs() + (long) (noticeS * 1000));
    }
}
