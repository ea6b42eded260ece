package dewlane.core.quota;

import dewlane.core.job.DependencyGraph;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import java.util.Optional;

/**
 * Transfers what this controller does not use of its share of a team's limit to one whose partition has capacity for
 * pending tasks, but whose own share is used up. Otherwise tasks could wait while their team is under its limit, for
 * instance where one controller has the only machine that fits.
 *
 * <p>The shares are in the partition map, on which every launch is conditional, so all controllers change them at the
 * same revision.
 */
public final class QuotaRebalancer {
    /** How long a job is pending before quota is transferred for it. */
    private static final long MIN_PENDING_MS = 15_000;
    /** How long the shares stay as they are after a transfer. */
    private static final long COOLDOWN_MS = 8000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final Membership membership;
    private final AuthorityMonitor authority;
    private final DependencyGraph dependencies;
    private final QuotaTransferPlanner planner;
    private long transferredAtMs = ControllerContext.NEVER_MS;

    /** Writes the planner's transfers by way of the membership, which owns the partition map. */
    public QuotaRebalancer(
            ControllerContext context,
            StoreReplica replica,
            Membership membership,
            AuthorityMonitor authority,
            DependencyGraph dependencies,
            QuotaTransferPlanner planner) {
        this.context = context;
        this.replica = replica;
        this.membership = membership;
        this.authority = authority;
        this.dependencies = dependencies;
        this.planner = planner;
    }

    /** Transfers quota for the first job that has waited too long for it. */
    public void tick() {
        if (!authority.current().mayDecide() || context.nowMs() - transferredAtMs < COOLDOWN_MS) {
            return;
        }
        for (JobEntry job : replica.jobs()) {
            if (hasWaitedLong(job) && planner.mayNeedTransfer(job)) {
                Optional<QuotaTransferPlanner.Transfer> transfer = planner.plan(job);
                if (transfer.isPresent()) {
                    transfer(job, transfer.get());
                    return;
                }
            }
        }
    }

    private boolean hasWaitedLong(JobEntry job) {
        return job.job() != null
                && dependencies.isReady(job.id())
                && context.wallClockMs() - job.waitingSinceMs() > MIN_PENDING_MS;
    }

    private void transfer(JobEntry job, QuotaTransferPlanner.Transfer transfer) {
        String team = job.job().team();
        QuotaAmount amount = transfer.amount();
        context.info("transferring " + amount.cpus() + " CPUs and " + amount.gpus() + " GPUs of the quota of " + team
                + " to " + transfer.controller() + " for " + job.id());
        membership.transferQuota(team, transfer.controller(), Math.max(0, amount.cpus()), Math.max(0, amount.gpus()));
        transferredAtMs = context.nowMs();
    }
}
