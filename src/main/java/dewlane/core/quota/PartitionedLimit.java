package dewlane.core.quota;

import dewlane.core.config.Settings;
import dewlane.core.config.Settings.TeamQuota;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.model.Job;
import dewlane.core.model.ResourceUsage;
import dewlane.core.schema.StoredValue;
import dewlane.core.store.StoreReplica;

/**
 * Enforces a large limit by dividing it into one share per controller of the partition map. Shares are equal at first
 * and can be changed by {@link QuotaRebalancer}. Launches need no shared key in the store: an attempt counts against
 * the owner of its slice, and only the owner launches tasks of a slice, so each controller knows its own usage.
 *
 * <p>When a controller leaves the partition map, another can become the owner of more than its share. It then starts no
 * tasks of the team, and the other controllers leave as much of their shares unused.
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

    /** Returns true if the limit is large enough that dividing it into shares does not delay tasks. */
    boolean appliesTo(TeamQuota team) {
        int controllers = replica.partitionMap() == null
                ? 1
                : replica.partitionMap().members().size();
        double minShareCpus = settings.tuning().minPartitionedShareCpus();
        return (team.maxCpus() <= 0 || team.maxCpus() / controllers >= minShareCpus)
                && (team.maxGpus() <= 0 || team.maxGpus() / controllers >= minShareCpus / 4);
    }

    /** Assumes that every other controller uses its full share, or what it uses already if that is more. */
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

    /** Returns the unused part of a controller's share; negative if its usage exceeds the share. */
    QuotaAmount unusedShare(TeamQuota team, Job job, String controller) {
        QuotaAmount share = shareOf(team, controller);
        ResourceUsage usage = usageOf(job, controller);
        return new QuotaAmount(share.cpus() - usage.cpus(), share.gpus() - usage.gpus());
    }

    /** Returns a controller's share: an equal part of the limit, plus or minus what was transferred. */
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
