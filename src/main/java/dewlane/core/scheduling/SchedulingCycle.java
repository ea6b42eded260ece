package dewlane.core.scheduling;

import dewlane.core.fleet.Machine;
import dewlane.core.membership.Membership;
import dewlane.core.message.FailureIsolation;
import java.util.List;

/**
 * The scheduling cycle: scans the machines of this controller's partition, and of no other, and has {@link JobWriter}
 * write the changes of each job, in the order of {@link JobQueue}.
 */
public final class SchedulingCycle {
    private final Membership membership;
    private final MachineScan scan;
    private final JobQueue queue;
    private final JobWriter writer;
    private final LaunchPlanner planner;
    private final SliceGarbageCollector garbageCollector;

    /** Creates a cycle that consists of the given steps. */
    public SchedulingCycle(
            Membership membership,
            MachineScan scan,
            JobQueue queue,
            JobWriter writer,
            LaunchPlanner planner,
            SliceGarbageCollector garbageCollector) {
        this.membership = membership;
        this.scan = scan;
        this.queue = queue;
        this.writer = writer;
        this.planner = planner;
        this.garbageCollector = garbageCollector;
    }

    /** Returns the machines of this partition that can be given tasks, as of the latest cycle. */
    public List<Machine> schedulableMachines() {
        return scan.schedulableMachines();
    }

    /**
     * Runs one cycle over all jobs and the machines of this partition. A job that fails does not hold up the others.
     */
    public void run() {
        writer.reconcileLaunches();
        if (!membership.isMember()) {
            scan.clear();
            return;
        }
        scan.run();
        FailureIsolation.runAll(List.of(this::writeFailedJobs, this::writeReadyJobs, garbageCollector::collect));
    }

    private void writeFailedJobs() {
        FailureIsolation.forEach(queue.failedJobs(), writer::writeWithoutLaunches);
    }

    private void writeReadyJobs() {
        JobQueue.Order order = queue.order();
        planner.beginCycle(scan, order.guaranteed());
        boolean mayLaunch = membership.isStoreReachable();
        FailureIsolation.forEach(order.jobs(), mayLaunch ? writer::writeWithLaunches : writer::writeWithoutLaunches);
    }
}
