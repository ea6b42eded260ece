package dewlane.core.controller;

import dewlane.core.message.Input;
import dewlane.core.store.StoreWatcher;

/** The contents of the store, as it is listed and watched. */
final class WatchInputs {
    private final StoreWatcher storeWatcher;
    private final SchedulingTrigger scheduling;

    WatchInputs(StoreWatcher storeWatcher, SchedulingTrigger scheduling) {
        this.storeWatcher = storeWatcher;
        this.scheduling = scheduling;
    }

    void register(InputDispatcher dispatcher) {
        dispatcher.on(Input.StoreListed.class, storeWatcher::onListed);
        dispatcher.on(Input.StoreListFailed.class, failed -> storeWatcher.onListFailed());
        dispatcher.on(Input.WatchEvents.class, this::onWatchEvents);
        dispatcher.on(Input.WatchFailed.class, storeWatcher::onWatchFailed);
    }

    private void onWatchEvents(Input.WatchEvents in) {
        if (storeWatcher.onEvents(in)) {
            scheduling.request();
        }
    }
}
