package dewlane.core.controller;

import dewlane.core.message.HandlerTable;
import dewlane.core.message.Input;
import dewlane.core.store.StoreWatcher;

/** Handles the results of listing and watching the store. */
final class WatchInputHandlers {
    private final StoreWatcher storeWatcher;
    private final SchedulingTrigger scheduling;

    WatchInputHandlers(StoreWatcher storeWatcher, SchedulingTrigger scheduling) {
        this.storeWatcher = storeWatcher;
        this.scheduling = scheduling;
    }

    void register(HandlerTable<Input> handlers) {
        handlers.on(Input.StorePageListed.class, storeWatcher::onPageListed);
        handlers.on(Input.StoreListed.class, storeWatcher::onListed);
        handlers.on(Input.StoreListFailed.class, failed -> storeWatcher.onListFailed());
        handlers.on(Input.WatchEvents.class, this::onWatchEvents);
        handlers.on(Input.WatchFailed.class, storeWatcher::onWatchFailed);
    }

    private void onWatchEvents(Input.WatchEvents in) {
        if (storeWatcher.onEvents(in)) {
            scheduling.request();
        }
    }
}
