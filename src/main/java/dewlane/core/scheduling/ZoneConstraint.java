package dewlane.core.scheduling;

import dewlane.core.model.Job;
import java.util.HashMap;
import java.util.Map;

/**
 * The zones in which a job's next tasks may start, by the zones of those that are running.
 *
 * <p>A job that wants its tasks in one zone has them where the first one is; one that wants them spread has at most
 * half of them in a zone.
 */
final class ZoneConstraint {
    private final Job job;
    private final Map<String, Integer> tasksByZone = new HashMap<>();

    /** The constraint of a job with no task running. */
    ZoneConstraint(Job job) {
        this.job = job;
    }

    /** True if one more task of the job may start in the zone. */
    boolean allows(String zone) {
        if (job.sameZone() && !tasksByZone.isEmpty() && !tasksByZone.containsKey(zone)) {
            return false;
        }
        return !job.spreadZones() || tasksByZone.getOrDefault(zone, 0) < (job.tasks() + 1) / 2;
    }

    /** Counts one more task in the zone. */
    void add(String zone) {
        if (job.hasZoneConstraint()) {
            tasksByZone.merge(zone, 1, Integer::sum);
        }
    }
}
