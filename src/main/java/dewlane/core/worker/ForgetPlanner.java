package dewlane.core.worker;

import dewlane.core.fleet.CommandChannel;
import dewlane.core.fleet.ForgetFence;
import dewlane.core.fleet.Machine;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.model.AttemptId;
import java.util.List;

/**
 * Selects the ended attempts that a worker is told to forget. A worker that has forgotten an attempt starts it again
 * when a copy of its launch arrives, so an attempt is forgotten only with a higher fencing token than that of its
 * launch: see {@link CommandChannel}. Until the fence is raised, the forget is deferred.
 */
final class ForgetPlanner {
    private final ControllerContext context;
    private final ControllerCounters counters;
    private final ForgetFence fence;
    private final CommandLog commandLog;

    ForgetPlanner(ControllerContext context, ControllerCounters counters, CommandLog commandLog) {
        this.context = context;
        this.counters = counters;
        this.fence = new ForgetFence(context, counters);
        this.commandLog = commandLog;
    }

    /** Returns those of the ended attempts that the response to a heartbeat tells the worker to forget. */
    List<AttemptId> planForResponse(Machine machine, List<AttemptId> ended) {
        defer(machine, ended);
        fence.raiseIfDue(machine);
        return selectForgettable(machine, ended);
    }

    /** Returns those of the ended attempts that a direct command tells the worker to forget. */
    List<AttemptId> planForDirectCommand(Machine machine, List<AttemptId> ended) {
        defer(machine, ended);
        return selectForgettable(machine, ended);
    }

    private void defer(Machine machine, List<AttemptId> ended) {
        for (AttemptId id : ended) {
            if (!machine.commandChannel().mayForget(id)
                    && machine.commands().deferredForgets().add(id, context.nowMs())) {
                counters.increment(Counter.FORGETS_DEFERRED);
                commandLog.onForgetDeferred(machine, id);
            }
        }
    }

    private static List<AttemptId> selectForgettable(Machine machine, List<AttemptId> ended) {
        if (ended.isEmpty()) {
            return ended;
        }
        List<AttemptId> forgets =
                ended.stream().filter(machine.commandChannel()::mayForget).toList();
        machine.commands().deferredForgets().removeAll(forgets);
        return forgets;
    }
}
