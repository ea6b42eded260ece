package dewlane.sim;

import dewlane.core.model.Heartbeat;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Sends a worker's heartbeats: chooses the controller and the time, and delivers, loses, delays or duplicates them. */
final class SimHeartbeats {
    /**
     * Probability that a duplicate of a heartbeat arrives late at the same or a random controller, while messages have
     * faults.
     */
    private static final double DUPLICATE_RATE = 0.02;

    private static final long REPLY_TIMEOUT_MS = 4000;
    private static final long RETRY_MS = 1000;
    private static final long MAX_DELAY_AFTER_CHANGE_MS = 500;
    private static final int MAX_DELAY_AFTER_REDIRECT_MS = 500;

    private final SimWorker worker;
    private final SimCluster cluster;
    private long sequence;
    private String target;
    private boolean awaitsReply;
    private long nextAt;
    /** Heartbeats held back in flight, or null if none are held back. */
    private List<Heartbeat> heldBack;

    SimHeartbeats(SimWorker worker) {
        this.worker = worker;
        this.cluster = worker.cluster;
    }

    /** Returns the controller to which the worker sends heartbeats, or null if it will choose one at random. */
    String target() {
        return target;
    }

    void clearTarget() {
        target = null;
    }

    void resetSequence() {
        sequence = 0;
    }

    /** Sends the next heartbeat soon, since something has changed on the worker. */
    void sendSoon() {
        nextAt = Math.min(nextAt, cluster.now() + MAX_DELAY_AFTER_CHANGE_MS);
    }

    Heartbeat next(long incarnation, long fencingToken) {
        List<Heartbeat.TaskStatus> states = new ArrayList<>();
        for (SimAttempt attempt : worker.attempts()) {
            states.add(new Heartbeat.TaskStatus(
                    attempt.job, attempt.task, attempt.number, attempt.phase, attempt.end, false));
        }
        return new Heartbeat(
                worker.name,
                worker.name + ":1",
                worker.type.name(),
                worker.zone,
                worker.spot,
                incarnation,
                ++sequence,
                fencingToken,
                Double.NaN,
                states);
    }

    void sendIfDue() {
        if (!awaitsReply && cluster.now() >= nextAt) {
            send();
        }
    }

    private void send() {
        nextAt = cluster.now() + (long) (cluster.settings.heartbeatIntervalS() * cluster.randomBetween(750, 1250));
        if (target == null) {
            target = cluster.randomController().name;
        }
        SimController controller = cluster.controllers.get(target);
        Heartbeat heartbeat = worker.nextHeartbeat();
        long sentAt = cluster.now();
        long incarnation = worker.incarnation();
        RunOnce replyOrTimeout = new RunOnce();
        awaitsReply = true;
        cluster.after(
                REPLY_TIMEOUT_MS,
                () -> replyOrTimeout.run(() -> {
                    awaitsReply = false;
                    tryNextController();
                }));
        transmit(heartbeat, controller, reply -> {
            long repliedAt = cluster.now();
            cluster.deliver(() -> {
                if (worker.receivesReplyFrom(controller)) {
                    replyOrTimeout.run(() -> {
                        awaitsReply = false;
                        handle(reply, incarnation, sentAt, repliedAt);
                    });
                }
            });
        });
    }

    private void handle(HeartbeatReply reply, long incarnation, long sentAt, long repliedAt) {
        if (reply.isRedirect()
                && reply.redirectTo() != null
                && !reply.redirectTo().equals(target)) {
            target = reply.redirectTo();
            nextAt = cluster.now() + cluster.randomBetween(0, MAX_DELAY_AFTER_REDIRECT_MS);
        } else if (reply.isAccepted()) {
            worker.execute(reply, incarnation, sentAt, repliedAt);
        } else {
            tryNextController();
        }
    }

    private void tryNextController() {
        List<SimController> controllers = List.copyOf(cluster.controllers.values());
        int current = target == null ? 0 : controllers.indexOf(cluster.controllers.get(target));
        target = controllers.get((current + 1) % controllers.size()).name;
        nextAt = cluster.now() + RETRY_MS;
    }

    /** Sends a heartbeat to a controller if it can be reached, and sometimes a late duplicate. */
    private void transmit(Heartbeat heartbeat, SimController to, Consumer<HeartbeatReply> onReply) {
        if (heldBack != null) {
            heldBack.add(heartbeat);
            return;
        }
        if (!reaches(to)) {
            return;
        }
        if (cluster.messageFaultRate > 0 && cluster.chance(DUPLICATE_RATE)) {
            deliverDuplicate(
                    heartbeat,
                    cluster.chance(0.5) ? to : cluster.randomController(),
                    cluster.randomBetween(1000, 90_000));
        }
        cluster.deliver(() -> {
            if (to.alive) {
                to.receiveHeartbeat(heartbeat, onReply);
            }
        });
    }

    private boolean reaches(SimController controller) {
        return !worker.disconnected
                && !worker.outboundBlocked
                && !controller.disconnectedFromWorkers
                && !worker.blockedControllers.contains(controller.name)
                && controller.alive;
    }

    /** Starts to hold back heartbeats in flight. */
    void holdBack() {
        heldBack = new ArrayList<>();
    }

    /** Delivers the held-back heartbeats in order to the given controller, and returns how many there were. */
    int release(SimController to) {
        List<Heartbeat> released = heldBack;
        heldBack = null;
        released.forEach(heartbeat -> deliverDuplicate(heartbeat, to, 1));
        return released.size();
    }

    /** Delivers a duplicate of a heartbeat after the given time; its reply is dropped. */
    void deliverDuplicate(Heartbeat duplicate, SimController to, long afterMs) {
        cluster.after(afterMs, () -> {
            if (to.alive) {
                to.receiveHeartbeat(duplicate, reply -> {});
            }
        });
    }
}
