package dewlane.sim;

import java.util.List;

/**
 * Faults outside controllers and workers: lost messages, delayed commands, cloud outages, and users who cancel as their
 * job completes.
 */
final class EnvironmentFaults {
    private EnvironmentFaults() {}

    static void loseMessages(FaultTarget target) {
        SimCluster cluster = target.cluster();
        cluster.messageFaultRate = 0.2;
        cluster.after(5000, () -> {
            boolean inFaultPhase = cluster.now() < RandomFaultsTest.FAULT_PHASE_END_MS;
            cluster.messageFaultRate = inFaultPhase ? SimCluster.DEFAULT_MESSAGE_FAULT_RATE : 0;
        });
    }

    /**
     * Delays direct commands while about half of the workers fail their tasks, so that attempts launched by replies to
     * heartbeats end before the delayed commands for them arrive.
     */
    static void delayCommandsWhileTasksFail(FaultTarget target) {
        SimCluster cluster = target.cluster();
        cluster.commands.delayRate = 0.8;
        List<SimWorker> failing = target.runningWorkers().stream()
                .filter(worker -> cluster.chance(0.5))
                .toList();
        failing.forEach(worker -> worker.failsTasks = true);
        int ms = cluster.randomBetween(5000, 20_000);
        cluster.after(ms, () -> cluster.commands.delayRate = 0);
        cluster.after(ms, () -> failing.forEach(worker -> worker.failsTasks = false));
    }

    static void cloudOutage(FaultTarget target) {
        SimCloud cloud = target.cluster().cloud;
        cloud.unavailable = true;
        target.afterRandomDelay(2000, 15_000, () -> cloud.unavailable = false);
    }

    /** Lets users often cancel a job at the moment its last task ends, for 20 s. */
    static void cancelOnCompletion(FaultTarget target) {
        SimUsers users = target.cluster().users;
        users.cancelOnCompletionRate = 0.5;
        target.cluster().after(20_000, () -> users.cancelOnCompletionRate = 0);
    }
}
