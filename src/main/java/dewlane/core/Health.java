package dewlane.core;

import dewlane.core.Value.MachineFate;
import dewlane.core.Value.MachineRecord;
import java.util.HashSet;
import java.util.Set;

/** Asks for the deletion of machines of this part that fell silent or are faulty. */
final class Health {
    private final Context context;
    private final Replica replica;
    private final Machines machines;
    private final Membership membership;
    private final Journaller journaller;
    private final Set<String> asking = new HashSet<>();
    private long incarnation;
    private long mostSilentAt = Long.MIN_VALUE / 2;

    Health(Context context, Replica replica, Machines machines, Membership membership, Journaller journaller) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.membership = membership;
        this.journaller = journaller;
    }

    void tick() {
        if (!membership.joined() || membership.silence() > 2000) {
            return;
        }
        if (membership.incarnation() != incarnation) {
            // Silence from before it joined again says nothing: others may have heard the machines all the while.
            incarnation = membership.incarnation();
            machines.all().forEach(m -> m.since = context.now());
        }
        int heard = 0;
        int silent = 0;
        long patience = (long) (context.settings().tuning().silentS() * 1000);
        for (Machine m : machines.own()) {
            if (known(m)) {
                // Those in doubt or just fallen silent count too: they do not all begin at the same moment.
                if (m.doubtSince != 0 || silentFor(m) > Math.min(patience, context.settings().heardMs())) {
                    silent++;
                } else {
                    heard++;
                }
            }
        }
        if (silent > heard) {
            mostSilentAt = context.now();
        }
        // Where most are silent, or just were, it is more likely that this controller cannot hear or is not heard.
        boolean trusts = context.now() - mostSilentAt > context.settings().heardMs();
        for (Machine m : machines.own()) {
            if (replica.machines().containsKey(m.name) || asking.contains(m.name)) {
                continue;
            }
            if (!m.failedJobs.isEmpty() && machines.faulty(m)) {
                condemn(m, "faulty");
            } else if (known(m) && silentFor(m) > patience && (trusts || silentFor(m) > 3 * patience)) {
                condemn(m, m.sequence > 0 && m.doubtSince != 0 ? "out of reach" : "silent");
            } else if (silentFor(m) > patience && m.live.values().stream().anyMatch(this::cancelledLong)) {
                // A hanging machine keeps a cancelled task; only its deletion ends that in time.
                condemn(m, "silent with a cancelled task");
            }
        }
    }

    /** Not one returned, nor one of which there is only a report: that may be a late copy from a machine long gone. */
    private static boolean known(Machine m) {
        return m.heardAt != 0 && !m.returned || !m.live.isEmpty();
    }

    private boolean cancelledLong(Machine.Live l) {
        return l.job.aborted() && context.wall() - l.job.abortedMs() > context.settings().cancelS() * 300;
    }

    private long silentFor(Machine m) {
        return context.now() - Math.max(m.heardAt, m.since);
    }

    private void condemn(Machine m, String reason) {
        context.info("machine " + m.name + " is " + reason + ", to be deleted with " + m.live.size() + " tasks on it");
        asking.add(m.name);
        // Conditional on the map: one that was cut off must not condemn what others have taken over and hear.
        Txn txn = new Txn.Builder().when(Keys.machine(m.name), 0).when(Keys.MAP, replica.mapVersion())
                .set(Keys.machine(m.name), new MachineRecord(MachineFate.DELETE, reason)).build();
        journaller.submit(Journaller.Urgency.OUTCOME, txn, (status, revision) -> asking.remove(m.name));
    }
}
