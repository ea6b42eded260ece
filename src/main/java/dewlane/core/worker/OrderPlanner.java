package dewlane.core.worker;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.Machine.Key;
import dewlane.core.fleet.Machine.Live;
import dewlane.core.fleet.Machines;
import dewlane.core.job.Cancellations;
import dewlane.core.membership.StandingMonitor;
import dewlane.core.message.Context;
import dewlane.core.message.Counters;
import dewlane.core.model.Attempt;
import dewlane.core.model.Order;
import dewlane.core.model.Report.Phase;
import dewlane.core.model.Report.TaskState;
import dewlane.core.store.JobEntry;
import dewlane.core.store.Replica;
import dewlane.core.store.SliceEntry;
import java.util.ArrayList;
import java.util.List;

/** Works out what a machine is to be told. All of it follows from the replica and the machine's latest report. */
final class OrderPlanner {
    /** How long an attempt that the replica does not explain is left alone: the replica may lag. */
    private static final long UNACCOUNTED_MS = 5000;

    private static final int MOST_ORDERS = 400;
    private static final long RESEND_MS = 2000;

    private final Context context;
    private final Replica replica;
    private final Machines machines;
    private final Cancellations cancellations;
    private final StandingMonitor standing;
    private final Counters counters;
    private final OrderLog orderLog;

    OrderPlanner(
            Context context,
            Replica replica,
            Machines machines,
            Cancellations cancellations,
            StandingMonitor standing,
            Counters counters,
            OrderLog orderLog) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.cancellations = cancellations;
        this.standing = standing;
        this.counters = counters;
        this.orderLog = orderLog;
    }

    /** What the machine should do now. All of it is repeated in every answer until a report shows it done. */
    List<Order> orders(Machine m, boolean inAnswer) {
        List<Key> forget = new ArrayList<>();
        List<Key> strangers = new ArrayList<>();
        m.reported.forEach((key, t) -> {
            if (!m.live.containsKey(key)) {
                settle(m, key, t, forget, strangers);
            }
        });
        raiseFenceIfNeeded(m, forget);
        forget.removeIf(key -> heldBack(m, key));
        boolean mayLaunch = standing.now().maySendLaunches();
        List<Order> orders = new ArrayList<>();
        for (Live l : m.live.values()) {
            Order order = orderFor(m, l, mayLaunch);
            if (order != null && (inAnswer || due(m, l.key))) {
                orders.add(order);
            }
        }
        for (Key k : strangers) {
            if (!inAnswer && !due(m, k)) {
                continue;
            }
            orders.add(new Order(Order.Kind.STOP, k.job(), k.task(), k.number(), 0));
        }
        for (Key k : forget) {
            orders.add(new Order(Order.Kind.FORGET, k.job(), k.task(), k.number(), 0));
        }
        // The rest follows with the next answer: no answer or command may be longer than 64 KiB.
        return orders.size() > MOST_ORDERS ? orders.subList(0, MOST_ORDERS) : orders;
    }

    /** Refuses, from the next answer or command on, launches that must not be carried out any more. */
    private void raiseFenceIfNeeded(Machine m, List<Key> forget) {
        String reason = null;
        if (forget.stream().anyMatch(m.channel::launchAbandoned)) {
            reason = "a command that launches what is to be forgotten was given up on";
        } else if (m.live.values().stream().anyMatch(l -> endedOnTheWay(m, l))) {
            reason = "a launch on its way is of a job that is over";
        }
        if (reason != null) {
            counters.fencesRaised++;
            m.channel.raiseFence();
            orderLog.fenceRaised(m, reason);
        }
    }

    /** A launch that may still be on its way must not arrive after its job's cancellation. */
    private boolean endedOnTheWay(Machine m, Live l) {
        return cancellations.ended(l.job)
                && !m.reported.containsKey(l.key)
                && l.attempt.session() == m.session
                && l.attempt.token() == m.token();
    }

    /** Forgetting waits until no copy of the launch can arrive; raising the fence instead would give up others too. */
    private boolean heldBack(Machine m, Key key) {
        boolean held = m.channel.launchUnderWay(key);
        if (held) {
            counters.forgetsHeld++;
            orderLog.forgetHeld(m, key);
        }
        return held;
    }

    private boolean due(Machine m, Key key) {
        return !m.commanded.containsKey(key) || context.now() - m.commanded.getLong(key) > RESEND_MS;
    }

    private Order orderFor(Machine m, Live l, boolean mayLaunch) {
        TaskState t = m.reported.get(l.key);
        Attempt a = l.attempt;
        if (t == null) {
            // Only the token written with the launch may ever command it, or the proof of gone would not hold. And a
            // launch written long ago must not be sent on a view that may lack its job's cancellation.
            boolean launches = mayLaunch
                    && !cancellations.ended(l.job)
                    && a.session() == m.session
                    && a.token() == m.token()
                    && !machines.progress().of(l.job.id).outcomes.containsKey(l.key);
            return launches ? new Order(Order.Kind.LAUNCH, l.job.id, a.task(), a.number(), 0) : null;
        }
        if (t.phase() == Phase.EXITED) {
            return null;
        }
        if (cancellations.ended(l.job)) {
            return new Order(Order.Kind.STOP, l.job.id, a.task(), a.number(), 0);
        }
        Double grace = m.stops.get(l.key);
        return grace == null || t.phase() == Phase.SAVING
                ? null
                : new Order(Order.Kind.STOP, l.job.id, a.task(), a.number(), grace);
    }

    /** An attempt on the machine that the replica does not hold against it. */
    private void settle(Machine m, Key key, TaskState t, List<Key> forget, List<Key> strangers) {
        if (replica.isHeld(key.job())) {
            return;
        }
        JobEntry job = replica.job(key.job());
        SliceEntry slice = job == null ? null : job.sliceOf(key.task());
        boolean settled = slice != null ? slice.value().launches() >= key.number() : replica.fin(key.job()) != null;
        if (!settled) {
            m.unaccounted.putIfAbsent(key, context.now());
            settled = context.now() - m.unaccounted.getLong(key) > UNACCOUNTED_MS;
        }
        if (settled && t.phase() == Phase.EXITED) {
            forget.add(key);
        } else if (settled) {
            strangers.add(key);
        }
    }
}
