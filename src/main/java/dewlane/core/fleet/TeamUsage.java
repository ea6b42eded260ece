package dewlane.core.fleet;

import dewlane.core.model.Job;
import dewlane.core.model.ResourceUsage;
import java.util.HashMap;
import java.util.Map;

/** What the teams' tasks may be using, gone ones included until the proof is durable. */
public final class TeamUsage {
    private final Map<String, ResourceUsage> byTeam = new HashMap<>();
    /** By controller and team. */
    private final Map<String, Map<String, ResourceUsage>> byOwner = new HashMap<>();

    /** What a team uses. */
    public ResourceUsage usageOf(String team) {
        return byTeam.computeIfAbsent(team, t -> new ResourceUsage());
    }

    /** What of a team's use counts against a controller: that of the slices it owns. */
    public ResourceUsage usageOf(String team, String owner) {
        return byOwner.computeIfAbsent(owner, o -> new HashMap<>()).computeIfAbsent(team, t -> new ResourceUsage());
    }

    /** Counts so many tasks of a job more, for its team and for the owner; fewer if negative. */
    void add(Job job, String owner, int tasks) {
        usageOf(job.team()).add(job, tasks);
        addToOwner(job, owner, tasks);
    }

    /** Counts so many tasks more for the owner alone, if there is one. */
    void addToOwner(Job job, String owner, int tasks) {
        if (owner != null) {
            usageOf(job.team(), owner).add(job, tasks);
        }
    }

    /** Under another map slices have other owners, so all of their use is counted anew. */
    void clearOwners() {
        byOwner.clear();
    }
}
