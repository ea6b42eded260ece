package dewlane.core.worker;

import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.Machine;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.model.AttemptId;
import dewlane.core.model.Heartbeat;

/**
 * Decides whether a heartbeat proves that this controller's messages reach its machine; its arrival alone proves only
 * the other direction. The answer to a direct command proves it. A periodic heartbeat proves it as long as heartbeats
 * arrive in time and each shows what the response to the previous one carried: the fencing token, and the launches.
 * Otherwise the machine is suspected unreachable: it is given no further tasks and is probed.
 */
final class ReachabilityAssessment {
    private final ControllerContext context;
    private final ControllerCounters counters;

    ReachabilityAssessment(ControllerContext context, ControllerCounters counters) {
        this.context = context;
        this.counters = counters;
    }

    /**
     * Assesses the machine's latest heartbeat; the machine's worker state must already be updated from it.
     *
     * @param commandAnswer true if the heartbeat answers a direct command
     * @return true if it proves that the machine is reachable
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
                    + (missedResponse
                            ? "it did not receive the last response"
                            : "no contact within the heartbeat timeout"));
            if (machine.suspect(context.nowMs())) {
                counters.increment(Counter.FENCES_RAISED_FOR_SUSPICIONS);
            }
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

    /**
     * Returns true if the heartbeat lacks the token, or a launch, of the response to the machine's previous heartbeat.
     */
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
