package dewlane.core.fleet;

import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.HashMap;
import java.util.Map;

/** Tells which machine types had better be left to jobs that have fewer to choose from. */
public final class MachineTypeContention {
    private record Rivalry(Job.Requirements shape, String type) {}

    private final Map<String, MachineType> types;
    /** Shapes of the jobs that are not over, and how many have each. */
    private final Object2IntOpenHashMap<Job.Requirements> shapes = new Object2IntOpenHashMap<>();
    /** As of the present shapes and types: the question is asked for every job and type. */
    private final Map<Rivalry, Integer> rivals = new HashMap<>();

    /** Over the machine types by name, which may change. */
    MachineTypeContention(Map<String, MachineType> types) {
        this.types = types;
    }

    /** The machine types are others. */
    void typesChanged() {
        rivals.clear();
    }

    /** There is one more job of the shape. */
    void jobAdded(Job.Requirements shape) {
        if (shapes.addTo(shape, 1) == 0) {
            rivals.clear();
        }
    }

    /** There is one job of the shape less. */
    void jobRemoved(Job.Requirements shape) {
        if (shapes.addTo(shape, -1) == 1) {
            shapes.removeInt(shape);
            rivals.clear();
        }
    }

    /** How many types the tasks of a shape fit on and may use. */
    public int usableTypeCount(Job.Requirements shape) {
        int n = 0;
        for (MachineType type : types.values()) {
            n += shape.allowsType(type.name()) && type.fits(shape) ? 1 : 0;
        }
        return n;
    }

    /**
     * 1 if an active job with fewer types to choose from could use the type, so that a job of the shape had better go
     * elsewhere; 0 if not.
     */
    public int contention(Job.Requirements shape, MachineType type) {
        return rivals.computeIfAbsent(new Rivalry(shape, type.name()), r -> countRivals(shape, type));
    }

    private int countRivals(Job.Requirements shape, MachineType type) {
        int choices = usableTypeCount(shape);
        for (Job.Requirements other : shapes.keySet()) {
            if ((other.cpus() != shape.cpus() || other.memoryGb() != shape.memoryGb())
                    && type.fits(other)
                    && other.allowsType(type.name())
                    && usableTypeCount(other) < choices) {
                return 1;
            }
        }
        return 0;
    }
}
