package dewlane.core.controller;

import dewlane.core.message.HandlerTable;
import dewlane.core.message.Input;
import dewlane.core.worker.HeartbeatHandler;

/** Inputs from workers: heartbeats, and answers to direct commands. Either may free capacity or end attempts. */
final class WorkerInputHandlers {
    private final HeartbeatHandler heartbeats;
    private final SchedulingTrigger scheduling;

    WorkerInputHandlers(HeartbeatHandler heartbeats, SchedulingTrigger scheduling) {
        this.heartbeats = heartbeats;
        this.scheduling = scheduling;
    }

    void register(HandlerTable<Input> handlers) {
        handlers.on(Input.HeartbeatReceived.class, this::onHeartbeat);
        handlers.on(Input.CommandCompleted.class, this::onCommandCompleted);
    }

    private void onHeartbeat(Input.HeartbeatReceived in) {
        heartbeats.onHeartbeat(in.id(), in.heartbeat());
        scheduling.request();
    }

    private void onCommandCompleted(Input.CommandCompleted in) {
        heartbeats.onCommandCompleted(in);
        scheduling.request();
    }
}
