package dewlane.sim;

import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import java.util.ArrayList;
import java.util.List;

/**
 * The watches of the store: each blocks until there are changes after its revision, and is answered with these changes.
 */
final class SimWatches {
    private record Watch(SimController controller, int incarnation, Effect.Watch request, long openedAt) {}

    /** How long a watch blocks without a change, and the caller's timeout. */
    private static final long BLOCK_MS = 1000;

    private static final long TIMEOUT_MS = 2500;
    private static final long OPEN_DELAY_MS = 60;

    private final SimCluster cluster;
    private final SimStore store;
    private final List<Watch> watches = new ArrayList<>();

    SimWatches(SimCluster cluster, SimStore store) {
        this.cluster = cluster;
        this.store = store;
    }

    void open(SimController controller, Effect.Watch request) {
        int incarnation = controller.incarnation;
        cluster.after(OPEN_DELAY_MS, () -> {
            if (controller.incarnation == incarnation) {
                Watch watch = new Watch(controller, incarnation, request, cluster.now());
                watches.add(watch);
                notifyAllDue();
                cluster.after(BLOCK_MS, this::notifyAllDue);
                cluster.after(TIMEOUT_MS, () -> failIfOpen(watch));
            }
        });
    }

    private void failIfOpen(Watch watch) {
        if (watches.remove(watch)) {
            watch.controller.receive(watch.incarnation, new Input.WatchFailed(watch.request.id(), false));
        }
    }

    /** Answers the watches for which there are changes or whose blocking time has passed. */
    void notifyAllDue() {
        if (store.unavailable) {
            return;
        }
        List<Watch> remaining = new ArrayList<>();
        for (Watch watch : List.copyOf(watches)) {
            if (watch.controller.incarnation != watch.incarnation) {
                continue;
            }
            if (isBlocked(watch)) {
                remaining.add(watch);
            } else {
                answer(watch);
            }
        }
        watches.clear();
        watches.addAll(remaining);
    }

    private boolean isBlocked(Watch watch) {
        boolean waitsForChanges =
                watch.request.afterRevision() >= store.revision() && cluster.now() - watch.openedAt < BLOCK_MS;
        return store.refusedControllers.contains(watch.controller.name)
                || !watch.controller.storeReachable()
                || waitsForChanges;
    }

    private void answer(Watch watch) {
        Input changes = new Input.WatchEvents(
                watch.request.id(), store.changesAfter(watch.request.afterRevision()), store.revision());
        cluster.after(
                cluster.randomBetween(1, 6) + store.watchLagMs,
                () -> watch.controller.receive(watch.incarnation, changes));
    }
}
