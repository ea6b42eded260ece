package dewlane.core;

import dewlane.core.Value.MachineFate;
import dewlane.core.Value.MachineRecord;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Asks for the deletion of machines of this part that fell silent or are faulty. */
final class Health {
    /** As many as the cloud deletes at once. */
    private static final int MOST_AT_ONCE = 100;

    /** A pause between two ticks, which come every second, that only a process that stood still has. */
    private static final long STOOD_STILL_MS = 3000;

    private final Context context;
    private final Replica replica;
    private final Machines machines;
    private final Membership membership;
    private final Journaller journaller;
    private final Set<String> asking = new HashSet<>();
    private long incarnation;
    private long records;
    private long tickedAt;
    private long mostSilentAt = Long.MIN_VALUE / 2;

    Health(Context context, Replica replica, Machines machines, Membership membership, Journaller journaller) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.membership = membership;
        this.journaller = journaller;
    }

    void tick() {
        if (tickedAt != 0 && context.now() - tickedAt > STOOD_STILL_MS) {
            // What it slept through is nobody's silence: reports of that time may still be on their way in.
            context.info("stood still for " + (context.now() - tickedAt) + " ms");
            machines.all().forEach(m -> m.since = context.now());
        }
        tickedAt = context.now();
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
        Map<String, String> condemned = new LinkedHashMap<>();
        for (Machine m : machines.own()) {
            if (replica.machines().containsKey(m.name) || asking.contains(m.name)) {
                continue;
            }
            if (!m.failedJobs.isEmpty() && machines.faulty(m)) {
                condemned.put(m.name, "faulty");
            } else if (known(m) && silentFor(m) > patience && (trusts || silentFor(m) > 3 * patience)) {
                condemned.put(m.name, m.sequence > 0 && m.doubtSince != 0 ? "out of reach" : "silent");
            } else if (silentFor(m) > patience && m.live.values().stream().anyMatch(this::cancelledLong)) {
                // A hanging machine keeps a cancelled task; only its deletion ends that in time.
                condemned.put(m.name, "silent with a cancelled task");
            }
        }
        condemned.forEach((name, reason) -> context.info("machine " + name + " is " + reason + ", to be deleted with "
                + machines.get(name).live.size() + " tasks on it"));
        List<String> names = List.copyOf(condemned.keySet());
        for (int i = 0; i < names.size(); i += MOST_AT_ONCE) {
            condemn(names.subList(i, Math.min(i + MOST_AT_ONCE, names.size())), condemned.get(names.get(i)));
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

    /**
     * One record says it of all, since many may be lost at once. It is conditional on the map: nobody else launches on
     * them under it, and one that was cut off must not condemn what others have taken over and hear.
     */
    private void condemn(List<String> names, String reason) {
        asking.addAll(names);
        String key = Keys.machines(context.settings().node(), incarnation, ++records);
        Txn txn = new Txn.Builder().when(key, 0).when(Keys.MAP, replica.mapVersion())
                .set(key, new MachineRecord(MachineFate.DELETE, reason, names)).build();
        journaller.submit(Journaller.Urgency.OUTCOME, txn, (status, revision) -> asking.removeAll(names));
    }
}
