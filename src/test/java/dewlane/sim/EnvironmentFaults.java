package dewlane.sim;

import java.util.List;

/** Faults of what surrounds controllers and workers: links that fail, a cloud that is out, users who cancel late. */
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

    /** Commands are delayed on their way, and half of the workers fail what they were told to run by other ways. */
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

    /** For a while, users often cancel a job at the moment at which its last task ends. */
    static void cancelOnCompletion(FaultTarget target) {
        SimUsers users = target.cluster().users;
        users.cancelOnCompletionRate = 0.5;
        target.cluster().after(20_000, () -> users.cancelOnCompletionRate = 0);
    }
}
