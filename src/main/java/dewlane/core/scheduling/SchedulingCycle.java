package dewlane.core.scheduling;

import dewlane.core.fleet.Machine;
import dewlane.core.membership.Membership;
import dewlane.core.store.JobEntry;
import java.util.List;

/**
 * The scheduling cycle: looks at the machines of this partition, and at no other, and has {@link JobWriter} write what
 * there is to write about each job, in the order in which jobs are served.
 */
public final class SchedulingCycle {
    private final Membership membership;
    private final MachineScan survey;
    private final JobQueue queue;
    private final JobWriter writer;
    private final LaunchPlanner planner;
    private final SliceGarbageCollector garbageCollector;

    /** A cycle of the given steps. */
    public SchedulingCycle(
            Membership membership,
            MachineScan survey,
            JobQueue queue,
            JobWriter writer,
            LaunchPlanner planner,
            SliceGarbageCollector garbageCollector) {
        this.membership = membership;
        this.survey = survey;
        this.queue = queue;
        this.writer = writer;
        this.planner = planner;
        this.garbageCollector = garbageCollector;
    }

    /** Machines of this partition that can be given tasks, as of the latest cycle. */
    public List<Machine> schedulableMachines() {
        return survey.schedulableMachines();
    }

    /** Runs one cycle over all jobs and the machines of this partition. */
    public void run() {
        writer.reconcileLaunches();
        if (!membership.isMember()) {
            survey.clear();
            return;
        }
        survey.run();
        queue.failedJobs().forEach(writer::writeWithoutLaunches);
        JobQueue.Order order = queue.order();
        planner.beginCycle(survey, order.guaranteed());
        writeInOrder(order.jobs());
        garbageCollector.collect();
    }

    private void writeInOrder(List<JobEntry> jobs) {
        boolean mayLaunch = membership.isStoreReachable();
        for (JobEntry job : jobs) {
            if (mayLaunch) {
                writer.writeWithLaunches(job);
            } else {
                writer.writeWithoutLaunches(job);
            }
        }
    }
}
