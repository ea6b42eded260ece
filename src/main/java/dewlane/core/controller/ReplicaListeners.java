package dewlane.core.controller;

import dewlane.core.store.ReplicaChange;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Notifies listeners, which keep state derived from the replica, of each change in the order of their registration. */
final class ReplicaListeners implements Consumer<ReplicaChange> {
    private final List<Consumer<ReplicaChange>> listeners = new ArrayList<>();

    void add(Consumer<ReplicaChange> listener) {
        listeners.add(listener);
    }

    @Override
    public void accept(ReplicaChange change) {
        for (Consumer<ReplicaChange> listener : listeners) {
            listener.accept(change);
        }
    }
}
