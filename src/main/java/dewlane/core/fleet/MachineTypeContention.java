package dewlane.core.fleet;

import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The contention of jobs for machine types: a type should be left to jobs that can use fewer others. */
public final class MachineTypeContention {
    private record RequirementsOnType(Job.Requirements requirements, String type) {}

    private final Collection<MachineType> types;
    /** The requirements of the jobs that are not over, and how many jobs have each. */
    private final Object2IntOpenHashMap<Job.Requirements> activeJobs = new Object2IntOpenHashMap<>();
    /** Cached until active requirements or types change, as it is asked for with every job and type. */
    private final Map<RequirementsOnType, Integer> cachedContention = new HashMap<>();

    /** Contention for the given types, a live view: whoever changes it calls {@link #typesChanged}. */
    MachineTypeContention(Collection<MachineType> types) {
        this.types = types;
    }

    /** The machine types have changed. */
    void typesChanged() {
        cachedContention.clear();
    }

    /** There is one more job with the requirements. */
    void jobAdded(Job.Requirements requirements) {
        if (activeJobs.addTo(requirements, 1) == 0) {
            cachedContention.clear();
        }
    }

    /** There is one job less with the requirements. */
    void jobRemoved(Job.Requirements requirements) {
        if (activeJobs.addTo(requirements, -1) == 1) {
            activeJobs.removeInt(requirements);
            cachedContention.clear();
        }
    }

    /** The number of types that tasks with the requirements fit on and may use. */
    public int usableTypeCount(Job.Requirements requirements) {
        int count = 0;
        for (MachineType type : types) {
            if (isUsable(type, requirements)) {
                count++;
            }
        }
        return count;
    }

    private static boolean isUsable(MachineType type, Job.Requirements requirements) {
        return requirements.allowsType(type.name()) && type.fits(requirements);
    }

    /**
     * 1 if an active job that can use fewer types could use this one, so that a job with the requirements should use
     * another; 0 if not.
     */
    public int contention(Job.Requirements requirements, MachineType type) {
        return cachedContention.computeIfAbsent(
                new RequirementsOnType(requirements, type.name()), key -> computeContention(requirements, type));
    }

    private int computeContention(Job.Requirements requirements, MachineType type) {
        int usableTypes = usableTypeCount(requirements);
        for (Job.Requirements other : activeJobs.keySet()) {
            boolean sameSize = other.cpus() == requirements.cpus() && other.memoryGb() == requirements.memoryGb();
            if (!sameSize && isUsable(type, other) && usableTypeCount(other) < usableTypes) {
                return 1;
            }
        }
        return 0;
    }
}
