package dewlane.core.controller;

import dewlane.core.message.FailureIsolation;
import dewlane.core.store.ReplicaChange;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Notifies listeners of each change of the replica, in the order of their registration. The listeners keep state that
 * is derived from the replica. If a listener fails, the others are still notified.
 */
final class ReplicaListeners implements Consumer<ReplicaChange> {
    private final List<Consumer<ReplicaChange>> listeners = new ArrayList<>();

    void add(Consumer<ReplicaChange> listener) {
        listeners.add(listener);
    }

    @Override
    public void accept(ReplicaChange change) {
        FailureIsolation.forEach(listeners, listener -> listener.accept(change));
    }
}
