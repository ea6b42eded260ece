package dewlane.core.quota;

import dewlane.core.config.Settings;
import dewlane.core.fleet.PartitionCapacity;
import dewlane.core.model.Job;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import java.util.List;
import java.util.Optional;

/** Plans how much of its share of a team's limit this controller transfers to which other one, for a pending job. */
public final class QuotaTransferPlanner {
    /** What is transferred to a controller. */
    record Transfer(String controller, QuotaAmount amount) {}

    private final StoreReplica replica;
    private final QuotaEnforcer quota;
    private final PartitionCapacity capacity;
    private final String self;

    /** Plans transfers of the controller that the settings name. */
    public QuotaTransferPlanner(
            Settings settings, StoreReplica replica, QuotaEnforcer quota, PartitionCapacity capacity) {
        this.replica = replica;
        this.quota = quota;
        this.capacity = capacity;
        this.self = settings.controllerName();
    }

    /** True if the job may be pending for want of quota in another controller's share, while its team has more. */
    boolean mayNeedTransfer(JobEntry job) {
        return quota.hasPartitionedLimit(job.job()) && job.pendingCount() > 0 && quota.hasTeamCapacity(job.job());
    }

    /** A transfer to the first controller whose machines fit the job's tasks while its share is used up. */
    Optional<Transfer> plan(JobEntry job) {
        Job spec = job.job();
        List<Member> members = replica.partitionMap().members();
        int[] capacities = capacity.byPartition(spec, job.requirements());
        if (capacities[PartitionCapacity.indexOf(members, self)] > 0 && quota.capacityFor(spec, self) > 0) {
            // The job's tasks can start here.
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

    /** What the other controller lacks for as many tasks as half of the unused share here is for, or fewer. */
    private QuotaAmount amountFor(String other, Job job, int maxTasks) {
        int tasks = Math.min(Math.max(1, quota.capacityFor(job, self) / 2), maxTasks);
        QuotaAmount unusedHere = quota.unusedShare(job, self);
        QuotaAmount unusedThere = quota.unusedShare(job, other);
        return new QuotaAmount(
                Math.min(unusedHere.cpus(), tasks * job.cpus() - unusedThere.cpus()),
                Math.min(unusedHere.gpus(), tasks * job.gpus() - unusedThere.gpus()));
    }
}
