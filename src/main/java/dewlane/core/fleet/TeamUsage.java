package dewlane.core.fleet;

import dewlane.core.model.Job;
import dewlane.core.model.ResourceUsage;
import java.util.HashMap;
import java.util.Map;

/**
 * The resources that the teams' tasks may be using, in total and by the controller that owns their slices. Tasks that
 * are gone count until the proof of that is durable, so that the usage is never less than the real one.
 */
public final class TeamUsage {
    private final Map<String, ResourceUsage> byTeam = new HashMap<>();
    /** By controller and team. */
    private final Map<String, Map<String, ResourceUsage>> byOwner = new HashMap<>();

    /** What a team uses; updated in place. */
    public ResourceUsage usageOf(String team) {
        return byTeam.computeIfAbsent(team, name -> new ResourceUsage());
    }

    /** The part of a team's usage that counts against a controller: that of the slices it owns; updated in place. */
    public ResourceUsage usageOf(String team, String owner) {
        return byOwner.computeIfAbsent(owner, name -> new HashMap<>())
                .computeIfAbsent(team, name -> new ResourceUsage());
    }

    /** Adds the given number of a job's tasks to its team's usage and to the owner's part of it; negative to remove. */
    void add(Job job, String owner, int tasks) {
        usageOf(job.team()).add(job, tasks);
        addToOwner(job, owner, tasks);
    }

    /** Adds them to the owner's part alone, if there is an owner. */
    void addToOwner(Job job, String owner, int tasks) {
        if (owner != null) {
            usageOf(job.team(), owner).add(job, tasks);
        }
    }

    /** Clears all owners' parts: under another partition map slices have other owners. */
    void clearOwners() {
        byOwner.clear();
    }
}
