package dewlane.core.worker;

import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.Machine;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.model.AttemptId;
import dewlane.core.model.Heartbeat;

/**
 * Decides what a heartbeat says about whether its machine hears this controller, which being heard does not prove. The
 * answer to a direct command proves it. A worker's own heartbeat proves it as long as heartbeats come in time and each
 * shows what the response to the last one carried: the fencing token, and the launches. Otherwise the machine is
 * suspected: it gets no further tasks and is probed.
 */
final class ReachabilityAssessment {
    private final ControllerContext context;
    private final ControllerCounters counters;

    ReachabilityAssessment(ControllerContext context, ControllerCounters counters) {
        this.context = context;
        this.counters = counters;
    }

    /**
     * Takes the machine's latest heartbeat, which its worker state holds already.
     *
     * @param commandAnswer true if the heartbeat answers a direct command
     * @return true if it proves that the machine hears this controller
     */
    boolean assess(Machine machine, Heartbeat heartbeat, boolean commandAnswer) {
        boolean missedResponse = hasMissedResponse(machine, heartbeat);
        if (commandAnswer || provesReachable(machine, heartbeat, missedResponse)) {
            machine.reachability().onConfirmed(context.nowMs());
            return true;
        }
        if (!machine.reachability().isSuspected()) {
            counters.increment(Counter.SUSPICIONS);
            context.debug("machine " + machine.name() + " suspected unreachable: "
                    + (missedResponse ? "it missed a response" : "it was silent"));
            machine.suspect(context.nowMs());
        }
        return false;
    }

    private boolean provesReachable(Machine machine, Heartbeat heartbeat, boolean missedResponse) {
        if (machine.reachability().isSuspected()) {
            return machine.reachability().endsSuspicion(heartbeat.fencingToken());
        }
        return !missedResponse
                && machine.reachability()
                        .wasConfirmedWithin(context.nowMs(), context.settings().heartbeatTimeoutMs());
    }

    /** True if the heartbeat lacks the token, or a launch, of the response to the machine's last heartbeat. */
    private static boolean hasMissedResponse(Machine machine, Heartbeat heartbeat) {
        if (machine.commandChannel().responseToken() > heartbeat.fencingToken()) {
            return true;
        }
        for (AttemptId id : machine.commandChannel().responseLaunches()) {
            AssignedAttempt assigned = machine.attempt(id);
            if (assigned != null
                    && assigned.attempt().incarnation() == heartbeat.incarnation()
                    && !machine.worker().reports(id)) {
                return true;
            }
        }
        return false;
    }
}
