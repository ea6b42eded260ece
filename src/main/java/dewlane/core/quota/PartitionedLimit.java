package dewlane.core.quota;

import dewlane.core.config.Settings;
import dewlane.core.config.Settings.TeamQuota;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.model.Job;
import dewlane.core.model.ResourceUsage;
import dewlane.core.schema.StoredValue;
import dewlane.core.store.StoreReplica;

/**
 * Enforces a large limit by shares: each controller of the partition map has one, equal at first (see
 * {@link QuotaRebalancer}), and needs no key. What is on machines counts against the owner of its slice, who alone
 * launches there, so a controller knows its own usage. Another may come to own more than its share when a controller
 * leaves; it then starts nothing, and the others keep that much of theirs free.
 */
final class PartitionedLimit implements LimitEnforcement {
    private final Settings settings;
    private final StoreReplica replica;
    private final MachineRegistry machines;

    PartitionedLimit(Settings settings, StoreReplica replica, MachineRegistry machines) {
        this.settings = settings;
        this.replica = replica;
        this.machines = machines;
    }

    /** True if the limit is so large that a share of it does not hold work up. */
    boolean appliesTo(TeamQuota team) {
        int controllers = replica.partitionMap() == null
                ? 1
                : replica.partitionMap().members().size();
        double minShareCpus = settings.tuning().minPartitionedShareCpus();
        return (team.maxCpus() <= 0 || team.maxCpus() / controllers >= minShareCpus)
                && (team.maxGpus() <= 0 || team.maxGpus() / controllers >= minShareCpus / 4);
    }

    /** What the limit leaves this controller, if every other one uses its share or what it has beyond that. */
    @Override
    public int capacityFor(TeamQuota team, Job job) {
        String self = settings.controllerName();
        double othersCpus = 0;
        double othersGpus = 0;
        for (StoredValue.Member member : replica.partitionMap().members()) {
            if (!member.name().equals(self)) {
                ResourceUsage usage = usageOf(job, member.name());
                QuotaAmount share = shareOf(team, member.name());
                othersCpus += Math.max(usage.cpus(), share.cpus());
                othersGpus += Math.max(usage.gpus(), share.gpus());
            }
        }
        QuotaAmount available = new QuotaAmount(team.maxCpus() - othersCpus, team.maxGpus() - othersGpus);
        return capacityWithin(available, team, job, self);
    }

    @Override
    public int capacityFor(TeamQuota team, Job job, String controller) {
        return capacityWithin(shareOf(team, controller), team, job, controller);
    }

    private int capacityWithin(QuotaAmount share, TeamQuota team, Job job, String controller) {
        ResourceUsage usage = usageOf(job, controller);
        int byCpus = team.maxCpus() <= 0 ? ResourceUsage.UNLIMITED_TASKS : usage.capacityByCpus(share.cpus(), job);
        int byGpus = team.maxGpus() <= 0 ? ResourceUsage.UNLIMITED_TASKS : usage.capacityByGpus(share.gpus(), job);
        return Math.min(byCpus, byGpus);
    }

    /** What a controller does not use of its share; negative if it came to own more than that. */
    QuotaAmount unusedShare(TeamQuota team, Job job, String controller) {
        QuotaAmount share = shareOf(team, controller);
        ResourceUsage usage = usageOf(job, controller);
        return new QuotaAmount(share.cpus() - usage.cpus(), share.gpus() - usage.gpus());
    }

    /** A controller's share: an equal one, but for what was transferred. */
    private QuotaAmount shareOf(TeamQuota team, String controller) {
        int controllers = replica.partitionMap().members().size();
        double cpus = team.maxCpus() / controllers;
        double gpus = team.maxGpus() / controllers;
        for (StoredValue.QuotaTransfer transfer : replica.partitionMap().quotaTransfers()) {
            if (transfer.team().equals(team.name()) && transfer.controller().equals(controller)) {
                cpus += transfer.cpus();
                gpus += transfer.gpus();
            }
        }
        return new QuotaAmount(cpus, gpus);
    }

    private ResourceUsage usageOf(Job job, String controller) {
        return machines.teamUsage().usageOf(job.team(), controller);
    }
}
