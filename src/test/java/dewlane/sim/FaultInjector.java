package dewlane.sim;

import java.util.List;

/** Injects random faults of all kinds. Each fault ends after some time, except for terminated machines. */
final class FaultInjector {
    /** Prefix of all trace lines about injected faults. */
    static final String TRACE_PREFIX = "fault ";

    /** A kind of fault, which chooses its extent and duration at random. */
    @FunctionalInterface
    interface Fault {
        void inject(FaultTarget target);
    }

    /** A kind of fault with its relative probability. The order of the kinds determines which fault a seed gives. */
    private record Kind(String name, int weight, Fault fault) {}

    private static final List<Kind> KINDS = List.of(
            new Kind("crash", 2, ControllerFaults::crash),
            new Kind("crash_all", 1, ControllerFaults::crashAll),
            new Kind("crash_twice", 1, ControllerFaults::crashTwice),
            new Kind("store_outage", 1, StoreFaults::outage),
            new Kind("store_refuses_controller", 1, StoreFaults::refuseController),
            new Kind("controller_loses_store", 1, ControllerFaults::disconnectFromStore),
            new Kind("controller_loses_workers", 1, ControllerFaults::disconnectFromWorkers),
            new Kind("worker_terminates", 2, WorkerFaults::terminate),
            new Kind("worker_freezes", 2, WorkerFaults::freeze),
            new Kind("worker_disconnects", 2, WorkerFaults::disconnect),
            new Kind("worker_fails_tasks", 1, WorkerFaults::failTasks),
            new Kind("cloud_outage", 1, EnvironmentFaults::cloudOutage),
            new Kind("worker_inbound_blocked", 2, WorkerFaults::blockInbound),
            new Kind("controller_isolated", 2, ControllerFaults::isolate),
            new Kind("crash_all_twice", 1, ControllerFaults::crashAllTwice),
            new Kind("old_heartbeats", 1, WorkerFaults::deliverOldHeartbeats),
            new Kind("controller_freezes", 2, ControllerFaults::freeze),
            new Kind("store_slow", 1, StoreFaults::slow),
            new Kind("half_of_zone_lost", 1, WorkerFaults::loseHalfOfZone),
            new Kind("peers_partitioned", 2, ControllerFaults::partitionPeers),
            new Kind("store_delays_writes", 2, StoreFaults::delayWrites),
            new Kind("worker_outbound_blocked", 2, WorkerFaults::blockOutbound),
            new Kind("cancellations_while_workers_freeze", 2, WorkerFaults::freezeWhileCancelling),
            new Kind("cancellations_on_completion", 1, EnvironmentFaults::cancelOnCompletion),
            new Kind("leader_refused_then_store_outage", 1, StoreFaults::refuseLeaderThenOutage),
            new Kind("leaders_crash_in_turn", 1, ControllerFaults::crashLeadersInTurn),
            new Kind("crash_all_for_longer_than_lease", 1, ControllerFaults::crashAllForLongerThanLease),
            new Kind("messages_lost", 1, EnvironmentFaults::loseMessages),
            new Kind("commands_delayed_while_tasks_fail", 3, EnvironmentFaults::delayCommandsWhileTasksFail));

    private static final int TOTAL_WEIGHT =
            KINDS.stream().mapToInt(Kind::weight).sum();

    private FaultInjector() {}

    /** Injects one fault, chosen at random. */
    static void inject(SimCluster cluster) {
        FaultTarget target = FaultTarget.choose(cluster);
        Kind kind = kindAt(cluster.random.nextInt(TOTAL_WEIGHT));
        cluster.trace(TRACE_PREFIX + kind.name + " " + target);
        kind.fault.inject(target);
    }

    private static Kind kindAt(int roll) {
        int below = 0;
        for (Kind kind : KINDS) {
            below += kind.weight;
            if (roll < below) {
                return kind;
            }
        }
        throw new IllegalArgumentException("no kind of fault has this number: " + roll);
    }
}
