package dewlane.core.controller;

import dewlane.core.autoscaling.Autoscaler;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.HandlerTable;
import dewlane.core.message.Input;

/** Answers of the cloud. */
final class CloudInputHandlers {
    private final MachineRegistry machines;
    private final Autoscaler autoscaler;
    private final SchedulingTrigger scheduling;

    CloudInputHandlers(MachineRegistry machines, Autoscaler autoscaler, SchedulingTrigger scheduling) {
        this.machines = machines;
        this.autoscaler = autoscaler;
        this.scheduling = scheduling;
    }

    void register(HandlerTable<Input> handlers) {
        handlers.on(Input.MachineTypesListed.class, this::onMachineTypesListed);
        handlers.on(Input.InstancesListed.class, autoscaler::onInstancesListed);
        handlers.on(Input.InstancesCreated.class, autoscaler::onInstancesCreated);
        handlers.on(Input.InstancesDeleted.class, autoscaler::onInstancesDeleted);
    }

    private void onMachineTypesListed(Input.MachineTypesListed in) {
        machines.setTypes(in.types());
        scheduling.request();
    }
}
