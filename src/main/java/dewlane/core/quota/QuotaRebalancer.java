package dewlane.core.quota;

import dewlane.core.fleet.PartitionCapacity;
import dewlane.core.job.DependencyGraph;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Job;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import java.util.List;

/**
 * Lends what this controller does not use of its share of a team's limit to one whose part has room for work that
 * waits, but whose own share is used up. Without it such work waits while its team is under its limit: seen in the
 * random runs, where one controller had the only machine that fits.
 *
 * <p>The shares stand in the map, which every launch is conditional on, so all controllers change them at the same
 * revision.
 */
public final class QuotaRebalancer {
    /** So long a job waits before the shares are changed for it, and so long they then stay as they are. */
    private static final long WAIT_MS = 15_000;

    private static final long PAUSE_MS = 8000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final Membership membership;
    private final AuthorityMonitor standing;
    private final QuotaEnforcer quota;
    private final PartitionCapacity capacity;
    private final DependencyGraph release;
    private long lentAt = Long.MIN_VALUE / 2;

    public QuotaRebalancer(
            ControllerContext context,
            StoreReplica replica,
            Membership membership,
            AuthorityMonitor standing,
            QuotaEnforcer quota,
            PartitionCapacity capacity,
            DependencyGraph release) {
        this.release = release;
        this.context = context;
        this.replica = replica;
        this.membership = membership;
        this.standing = standing;
        this.quota = quota;
        this.capacity = capacity;
    }

    /** Transfers quota for the first job that has waited too long for it. */
    public void tick() {
        if (!standing.current().mayDecide() || context.nowMs() - lentAt < PAUSE_MS) {
            return;
        }
        for (JobEntry job : replica.jobs()) {
            if (job.job() != null
                    && release.isReady(job.id())
                    && context.wallClockMs() - job.waitingSinceMs() > WAIT_MS
                    && quota.isPartitioned(job.job())
                    && job.pendingCount() > 0
                    && quota.hasCapacity(job.job())
                    && transferFor(job)) {
                lentAt = context.nowMs();
                return;
            }
        }
    }

    private boolean transferFor(JobEntry job) {
        Job spec = job.job();
        String self = context.settings().controllerName();
        List<Member> members = replica.partitionMap().members();
        int[] rooms = capacity.byPartition(spec, job.requirements());
        int mine = quota.capacityFor(spec, self);
        for (int i = 0; i < rooms.length; i++) {
            if (members.get(i).name().equals(self) && rooms[i] > 0 && mine > 0) {
                // The job finds its room here.
                return false;
            }
        }
        QuotaEnforcer.Amount own = quota.unusedShare(spec, self);
        for (int i = 0; i < rooms.length; i++) {
            String other = members.get(i).name();
            if (!other.equals(self) && rooms[i] > 0 && quota.capacityFor(spec, other) <= 0) {
                int tasks = Math.min(Math.max(1, mine / 2), Math.min(rooms[i], job.pendingCount()));
                QuotaEnforcer.Amount theirs = quota.unusedShare(spec, other);
                double lentCpus = Math.min(own.cpus(), tasks * spec.cpus() - theirs.cpus());
                double lentGpus = Math.min(own.gpus(), tasks * spec.gpus() - theirs.gpus());
                if (lentCpus > 0 || lentGpus > 0) {
                    context.info("lending " + other + " " + lentCpus + " CPUs and " + lentGpus
                            + " GPUs of the limit of " + spec.team() + " for " + job.id());
                    membership.transferQuota(spec.team(), other, Math.max(0, lentCpus), Math.max(0, lentGpus));
                    return true;
                }
            }
        }
        return false;
    }
}
