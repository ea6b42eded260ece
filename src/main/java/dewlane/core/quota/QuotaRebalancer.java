package dewlane.core.quota;

import dewlane.core.job.DependencyGraph;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import java.util.Optional;

/**
 * Transfers the unused part of this controller's share of a team's limit to a controller whose partition has capacity
 * for pending tasks but whose share is used up. Without such transfers, tasks could wait although their team is below
 * its limit, for example if the only machine that fits is in the partition of one controller.
 *
 * <p>Shares are stored in the partition map. Every launch is conditional on the map, so a change of the shares takes
 * effect for all controllers at the same revision.
 */
public final class QuotaRebalancer {
    /** Time that a job must be pending before quota is transferred for it. */
    private static final long MIN_PENDING_MS = 15_000;
    /** Time after a transfer during which this controller transfers no more quota. */
    private static final long COOLDOWN_MS = 8000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final Membership membership;
    private final AuthorityMonitor authority;
    private final DependencyGraph dependencies;
    private final QuotaTransferPlanner planner;
    private long transferredAtMs = ControllerContext.NEVER_MS;

    /** Creates a rebalancer; the membership writes the planned transfers to the partition map. */
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

    /** Transfers quota for the first job that has been pending for too long and for which a transfer can be planned. */
    public void tick() {
        if (!authority.current().mayDecide() || context.nowMs() - transferredAtMs < COOLDOWN_MS) {
            return;
        }
        for (JobEntry job : replica.jobs()) {
            if (isPendingTooLong(job) && planner.mayNeedTransfer(job)) {
                Optional<QuotaTransferPlanner.Transfer> transfer = planner.plan(job);
                if (transfer.isPresent()) {
                    transfer(job, transfer.get());
                    return;
                }
            }
        }
    }

    private boolean isPendingTooLong(JobEntry job) {
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
