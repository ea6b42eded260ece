package dewlane.core.scheduling;

import dewlane.core.model.Job;
import java.util.HashMap;
import java.util.Map;

/**
 * Determines the zones in which a job's next tasks may start, given the zones of the tasks that are running.
 *
 * <p>If all tasks of a job must be in one zone, that is the zone of its first task. If tasks must be spread over zones,
 * at most half of them, rounded up, may be in one zone.
 */
final class ZoneConstraint {
    private final Job job;
    private final Map<String, Integer> tasksByZone = new HashMap<>();

    /** Creates the constraint for a job of which no task is running. */
    ZoneConstraint(Job job) {
        this.job = job;
    }

    /** Returns true if one more task of the job may start in the zone. */
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
