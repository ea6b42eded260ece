package dewlane.core.worker;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.Heartbeat;
import dewlane.core.store.StoreReplica;

/**
 * Handles heartbeats: those that workers send periodically, whose responses renew the workers' leases, and those that
 * answer direct commands.
 */
public final class HeartbeatHandler {
    private final ControllerContext context;
    private final MachineRegistry machines;
    private final HeartbeatAdmission admission;
    private final CommandDispatcher commands;
    private final MachineStateUpdater updater;

    /**
     * Creates a handler that accepts the heartbeats the admission allows and responds with the commands of the
     * dispatcher.
     */
    public HeartbeatHandler(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            HeartbeatAdmission admission,
            CommandDispatcher commands,
            ControllerCounters counters) {
        this.context = context;
        this.machines = machines;
        this.admission = admission;
        this.commands = commands;
        this.updater = new MachineStateUpdater(context, replica, machines, counters);
    }

    /** Called when a worker sent a heartbeat; the worker awaits the response to the given request. */
    public void onHeartbeat(long requestId, Heartbeat heartbeat) {
        switch (admission.admit(heartbeat)) {
            case ACCEPT -> acceptAndRespond(requestId, heartbeat);
            case REJECT -> context.emit(new Effect.RejectHeartbeat(requestId));
            case REDIRECT -> redirectToOwner(requestId, heartbeat);
        }
    }

    private void acceptAndRespond(long requestId, Heartbeat heartbeat) {
        Machine machine = machines.get(heartbeat.machine());
        updater.apply(machine, heartbeat, false);
        machine.reachability().onHeartbeatAccepted(context.nowMs());
        commands.respond(machine, requestId);
    }

    private void redirectToOwner(long requestId, Heartbeat heartbeat) {
        String owner = machines.get(heartbeat.machine()).owner();
        context.emit(new Effect.RedirectHeartbeat(requestId, owner));
    }

    /** Called when a direct command was answered with a heartbeat, timed out, or was never sent. */
    public void onCommandCompleted(Input.CommandCompleted completed) {
        Machine machine = machines.get(completed.machine());
        if (machine == null) {
            return;
        }
        commands.onCompleted(machine, completed);
        if (completed.heartbeat() != null) {
            onCommandAnswer(completed.heartbeat());
        }
    }

    private void onCommandAnswer(Heartbeat heartbeat) {
        if (admission.admitCommandAnswer(heartbeat)) {
            updater.apply(machines.get(heartbeat.machine()), heartbeat, true);
        }
    }
}
