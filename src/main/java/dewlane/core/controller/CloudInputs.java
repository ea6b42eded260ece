package dewlane.core.controller;

import dewlane.core.autoscaling.Autoscaler;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.Input;

/** Answers of the cloud. */
final class CloudInputs {
    private final MachineRegistry machines;
    private final Autoscaler autoscaler;
    private final SchedulingTrigger scheduling;

    CloudInputs(MachineRegistry machines, Autoscaler autoscaler, SchedulingTrigger scheduling) {
        this.machines = machines;
        this.autoscaler = autoscaler;
        this.scheduling = scheduling;
    }

    void register(InputDispatcher dispatcher) {
        dispatcher.on(Input.MachineTypesListed.class, this::onMachineTypesListed);
        dispatcher.on(Input.InstancesListed.class, autoscaler::onInstancesListed);
        dispatcher.on(Input.InstancesCreated.class, autoscaler::onInstancesCreated);
        dispatcher.on(Input.InstancesDeleted.class, autoscaler::onInstancesDeleted);
    }

    private void onMachineTypesListed(Input.MachineTypesListed in) {
        machines.setTypes(in.types());
        scheduling.request();
    }
}
