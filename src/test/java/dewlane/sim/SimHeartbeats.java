package dewlane.sim;

import dewlane.core.model.Heartbeat;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The heartbeats of a worker: to which controller and when they go, and what becomes of them on their way. */
final class SimHeartbeats {
    /** Chance that a duplicate of a heartbeat comes late, to any controller, while messages have faults. */
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
    /** Heartbeats that are held back on their way, or null if none are. */
    private List<Heartbeat> withheld;

    SimHeartbeats(SimWorker worker) {
        this.worker = worker;
        this.cluster = worker.cluster;
    }

    /** The controller to which the worker reports, or null if it will choose one. */
    String target() {
        return target;
    }

    void clearTarget() {
        target = null;
    }

    /** Something changed on the worker that its controller should know soon. */
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

    /** A heartbeat goes its way to a controller, if it gets there, and sometimes a duplicate comes late. */
    private void transmit(Heartbeat heartbeat, SimController to, Consumer<HeartbeatReply> onReply) {
        if (withheld != null) {
            withheld.add(heartbeat);
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

    /** From now on heartbeats are held back on their way. */
    void withhold() {
        withheld = new ArrayList<>();
    }

    /** What was held back arrives, in order, at the given controller; returns how many heartbeats that were. */
    int release(SimController to) {
        List<Heartbeat> late = withheld;
        withheld = null;
        late.forEach(heartbeat -> deliverDuplicate(heartbeat, to, 1));
        return late.size();
    }

    /** A duplicate of a heartbeat that comes late; its reply reaches nobody. */
    void deliverDuplicate(Heartbeat duplicate, SimController to, long afterMs) {
        cluster.after(afterMs, () -> {
            if (to.alive) {
                to.receiveHeartbeat(duplicate, reply -> {});
            }
        });
    }
}
