package dewlane.core.fleet;

import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Determines the contention of jobs for machine types: a type should be left to jobs that can use fewer other types.
 */
public final class MachineTypeContention {
    private record RequirementsOnType(Job.Requirements requirements, String type) {}

    private final Collection<MachineType> types;
    /** The requirements of the active jobs, and how many jobs have each. */
    private final Object2IntOpenHashMap<Job.Requirements> activeJobs = new Object2IntOpenHashMap<>();
    /** Cached until the active requirements or the types change, as it is needed for every job and type. */
    private final Map<RequirementsOnType, Integer> cachedContention = new HashMap<>();

    /**
     * Creates the contention for the given types. They are a live view: the class that changes them calls
     * {@link #onTypesChanged}.
     */
    MachineTypeContention(Collection<MachineType> types) {
        this.types = types;
    }

    /** Called when the machine types have changed. */
    void onTypesChanged() {
        cachedContention.clear();
    }

    /** Called when a job with the requirements was added. */
    void onJobAdded(Job.Requirements requirements) {
        if (activeJobs.addTo(requirements, 1) == 0) {
            cachedContention.clear();
        }
    }

    /** Called when a job with the requirements was removed. */
    void onJobRemoved(Job.Requirements requirements) {
        if (activeJobs.addTo(requirements, -1) == 1) {
            activeJobs.removeInt(requirements);
            cachedContention.clear();
        }
    }

    /** Returns the number of types that a task with the requirements fits on and may use. */
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
     * Returns 1 if an active job that can use fewer types could use this one, so that a job with the requirements
     * should use another type; otherwise 0. Jobs whose tasks need the same CPUs and memory are not compared.
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
