package dewlane.core.quota;

import dewlane.core.config.Settings;
import dewlane.core.fleet.PartitionCapacity;
import dewlane.core.model.Job;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import java.util.List;
import java.util.Optional;

/**
 * Plans transfers of quota for pending jobs: how much of its share of a team's limit this controller gives to which
 * other controller.
 */
public final class QuotaTransferPlanner {
    /** Transfer of quota from this controller to another one. */
    record Transfer(String controller, QuotaAmount amount) {}

    private final StoreReplica replica;
    private final QuotaEnforcer quota;
    private final PartitionCapacity capacity;
    private final String self;

    /** Creates a planner for the controller named in the settings. */
    public QuotaTransferPlanner(
            Settings settings, StoreReplica replica, QuotaEnforcer quota, PartitionCapacity capacity) {
        this.replica = replica;
        this.quota = quota;
        this.capacity = capacity;
        this.self = settings.controllerName();
    }

    /**
     * Returns true if the job may be pending because another controller's share is used up, while its team is below its
     * limit.
     */
    boolean mayNeedTransfer(JobEntry job) {
        return quota.hasPartitionedLimit(job.job()) && job.pendingCount() > 0 && quota.hasTeamCapacity(job.job());
    }

    /**
     * Plans a transfer to the first controller whose machines have capacity for the job but whose share is used up.
     * Returns empty if there is none, or if tasks of the job can start on this controller.
     */
    Optional<Transfer> plan(JobEntry job) {
        Job spec = job.job();
        List<Member> members = replica.partitionMap().members();
        int[] capacities = capacity.byPartition(spec, job.requirements());
        if (capacities[PartitionCapacity.indexOf(members, self)] > 0 && quota.capacityFor(spec, self) > 0) {
            // Tasks of the job can start on this controller.
            return Optional.empty();
        }
        for (int i = 0; i < capacities.length; i++) {
            String other = members.get(i).name();
            if (!other.equals(self) && capacities[i] > 0 && quota.capacityFor(spec, other) <= 0) {
                QuotaAmount amount = amountFor(other, spec, Math.min(capacities[i], job.pendingCount()));
                if (amount.cpus() > 0 || amount.gpus() > 0) {
                    return Optional.of(new Transfer(other, amount));
                }
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the quota that the other controller lacks to start as many tasks as fit into half of this controller's
     * unused share, but at least one and at most {@code maxTasks}. Never more than the unused share.
     */
    private QuotaAmount amountFor(String other, Job job, int maxTasks) {
        int tasks = Math.min(Math.max(1, quota.capacityFor(job, self) / 2), maxTasks);
        QuotaAmount ownUnusedShare = quota.unusedShare(job, self);
        QuotaAmount otherUnusedShare = quota.unusedShare(job, other);
        return new QuotaAmount(
                Math.min(ownUnusedShare.cpus(), tasks * job.cpus() - otherUnusedShare.cpus()),
                Math.min(ownUnusedShare.gpus(), tasks * job.gpus() - otherUnusedShare.gpus()));
    }
}
