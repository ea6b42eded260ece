package dewlane.core.fleet;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.model.AttemptId;
import dewlane.core.model.Heartbeat.ExitReason;
import dewlane.core.model.Heartbeat.TaskStatus;
import java.util.ArrayList;
import java.util.List;

/**
 * Raises the fence of a machine so that its worker can be told to forget attempts: see {@link CommandChannel}. A raised
 * fence invalidates launches that are pending, so it is raised only while none is; and it makes the worker send another
 * heartbeat, so forgets are gathered for one raise.
 */
public final class ForgetFence {
    /** Time for a response to reach the worker. It drops a response that arrives after a higher token. */
    private static final long RESPONSE_DELIVERY_MS = 250;

    private final ControllerContext context;
    private final ControllerCounters counters;

    /** Creates a fence that logs and counts each raise. */
    public ForgetFence(ControllerContext context, ControllerCounters counters) {
        this.context = context;
        this.counters = counters;
    }

    /**
     * Called before launches on the machine are decided. If forgets are deferred, they are sent with the launches,
     * whose execution makes the worker send a heartbeat anyway.
     */
    public void raiseBeforeLaunch(Machine machine) {
        boolean responseDelivered =
                context.nowMs() - machine.reachability().lastHeartbeatAtMs() >= RESPONSE_DELIVERY_MS;
        if (responseDelivered && !machine.commands().deferredForgets().isEmpty()) {
            raiseIfNoLaunchIsPending(machine);
        }
    }

    /**
     * Called before the response to a heartbeat is planned: the worker awaits no other response. Raises the fence if
     * forgets have been deferred for a lease of the worker.
     */
    public void raiseIfDue(Machine machine) {
        if (machine.commands().deferredForgets().isDue(context.nowMs(), workerLeaseMs(context))) {
            raiseIfNoLaunchIsPending(machine);
        }
    }

    /**
     * Returns true if forgets have been deferred for two leases of the worker, because launches keep being pending or
     * the tokens of the epoch are used up. No launch is added on the machine until the fence is raised.
     */
    public static boolean isOverdue(Machine machine, ControllerContext context) {
        return machine.commands().deferredForgets().isDue(context.nowMs(), 2 * workerLeaseMs(context));
    }

    private static long workerLeaseMs(ControllerContext context) {
        return (long) (context.settings().workerLeaseS() * 1000);
    }

    private void raiseIfNoLaunchIsPending(Machine machine) {
        CommandChannel channel = machine.commandChannel();
        if (!channel.mayRaiseForForgets()
                || channel.isCommandInFlight()
                || machine.launches().isAnyPending()) {
            return;
        }
        long launchToken = machine.fencingToken();
        long deferredMs = machine.commands().deferredForgets().longestMs(context.nowMs());
        channel.raiseFence();
        counters.increment(Counter.FENCES_RAISED_FOR_FORGETS);
        counters.raiseTo(Counter.LONGEST_FORGET_DEFERRAL_MS, deferredMs);
        log(machine, launchToken, deferredMs);
    }

    /** Logs the attempts whose task may be started again. A task that is done never is, so it is not listed. */
    private void log(Machine machine, long launchToken, long deferredMs) {
        List<AttemptId> unfinished = new ArrayList<>();
        for (AttemptId id : machine.commands().deferredForgets().attempts()) {
            TaskStatus status = machine.worker().task(id);
            if (status != null && status.exitReason() != ExitReason.DONE) {
                unfinished.add(id);
            }
        }
        if (!unfinished.isEmpty()) {
            context.info("fence of " + machine.name() + " raised, token " + machine.fencingToken() + " of epoch "
                    + machine.commandChannel().epoch() + " incarnation "
                    + machine.worker().incarnation() + ": forgets " + unfinished + " after " + deferredMs
                    + " ms, refuses launches up to token " + launchToken);
        }
    }
}
