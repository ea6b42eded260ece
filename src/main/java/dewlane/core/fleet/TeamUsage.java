package dewlane.core.fleet;

import dewlane.core.model.Job;
import dewlane.core.model.ResourceUsage;
import java.util.HashMap;
import java.util.Map;

/**
 * The resources that the teams' tasks may be using, in total and by the controller that owns their slices. A task
 * counts until the proof of its end is durable, so the counted usage is never below the real one.
 */
public final class TeamUsage {
    private final Map<String, ResourceUsage> byTeam = new HashMap<>();
    /** By controller and team. */
    private final Map<String, Map<String, ResourceUsage>> byOwner = new HashMap<>();

    /** Returns a team's usage, which is updated in place. */
    public ResourceUsage usageOf(String team) {
        return byTeam.computeIfAbsent(team, name -> new ResourceUsage());
    }

    /**
     * Returns the part of a team's usage that counts against a controller, that of the slices it owns; it is updated in
     * place.
     */
    public ResourceUsage usageOf(String team, String owner) {
        return byOwner.computeIfAbsent(owner, name -> new HashMap<>())
                .computeIfAbsent(team, name -> new ResourceUsage());
    }

    /**
     * Adds the given number of a job's tasks to its team's usage and to the owner's part of it; a negative number
     * removes tasks.
     */
    void add(Job job, String owner, int tasks) {
        usageOf(job.team()).add(job, tasks);
        addToOwner(job, owner, tasks);
    }

    /** Adds the tasks to the owner's part only, if there is an owner. */
    void addToOwner(Job job, String owner, int tasks) {
        if (owner != null) {
            usageOf(job.team(), owner).add(job, tasks);
        }
    }

    /** Clears the parts of all owners, as slices have other owners under another partition map. */
    void clearOwners() {
        byOwner.clear();
    }
}
