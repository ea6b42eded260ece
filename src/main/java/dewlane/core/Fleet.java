package dewlane.core;

import dewlane.core.Replica.JobEntry;
import dewlane.core.Value.MachineFate;
import dewlane.core.Value.MachineRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The leader's care for the fleet: rents for the demand in sight, deletes condemned machines and those that their
 * partition's owner gives back (see {@link Returns}), and records which are proven gone.
 */
final class Fleet {
    private static final long LIST_MS = 2000;
    private static final long DELETE_RETRY_MS = 6000;
    private static final long SCARCE_MS = 20_000;
    private static final long KEEP_GONE_MS = 60_000;
    /** So long the cloud's list may still show a machine that was returned. */
    private static final long KEEP_RETURNED_MS = 30_000;
    /** A machine rented for a task is there for about so long; shorter tasks share its room one after the other. */
    private static final double SLOT_S = 80;
    /** Work of the lowest priority has ordinary machines rented for it only after such a wait. */
    private static final long IDLE_PRIORITY_WAIT_MS = 60_000;
    /** How much dearer a type counts that other jobs need more. */
    private static final double RIVAL = 0.4;

    private record Rental(String type, String zone, boolean spot, int count, long at) {}

    private record Place(String type, String zone, boolean spot) {}

    /** Room on machines of one place that are up or on their way. */
    private static final class Bin {
        final MachineType type;
        final String zone;
        final boolean spot;
        final Use use;

        Bin(MachineType type, String zone, boolean spot, Use use) {
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.use = use;
        }

        /** Takes up to the given number of tasks and says how many. */
        int take(Job job, int tasks) {
            int taken = Math.min(tasks, use.room(type, job));
            if (taken > 0) {
                use.add(job, taken);
            }
            return taken;
        }
    }

    private final Context context;
    private final Replica replica;
    private final Machines machines;
    private final Membership membership;
    private final TransactionQueue transactions;
    private final Placement placement;
    private final Quota quota;
    private final Map<String, ListedMachine> listed = new LinkedHashMap<>();
    private final Map<String, Long> listedAt = new HashMap<>();
    private final Map<String, Rental> rentals = new HashMap<>();
    /** Rented machines that have not been seen up yet. */
    private final Map<String, Rental> booting = new LinkedHashMap<>();

    private final Map<Place, Long> scarceUntil = new HashMap<>();
    private final Map<String, Long> deletingAt = new HashMap<>();
    private final Map<String, Long> goneAt = new HashMap<>();
    /** Machines that a delete was answered for, or that the cloud calls failed. */
    private final Set<String> gone = new HashSet<>();

    private final Set<String> writing = new HashSet<>();
    private final Set<String> up = new HashSet<>();
    private long catalogAt = Long.MIN_VALUE;
    private long listAskedAt = Long.MIN_VALUE;
    private long ledSince;
    private boolean planned;

    Fleet(
            Context context,
            Replica replica,
            Machines machines,
            Membership membership,
            TransactionQueue transactions,
            Placement placement,
            Quota quota) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.membership = membership;
        this.transactions = transactions;
        this.placement = placement;
        this.quota = quota;
    }

    /** Names on the list that are up, for the leader's peers to learn their addresses. */
    void tick() {
        long now = context.now();
        long catalogEvery = machines.types().isEmpty() ? 1500 : 60_000;
        if (catalogAt == Long.MIN_VALUE || now - catalogAt > catalogEvery) {
            catalogAt = now;
            context.emit(new Effect.ReadCatalog());
        }
        if (!membership.leads()) {
            ledSince = 0;
            planned = false;
            listed.clear();
            booting.clear();
            rentals.clear();
            return;
        }
        if (ledSince == 0) {
            ledSince = now;
            context.info("leading the fleet");
        }
        if (listAskedAt == Long.MIN_VALUE || now - listAskedAt >= LIST_MS) {
            listAskedAt = now;
            context.emit(new Effect.ListMachines());
        }
        if (membership.silence() > 2000 || machines.types().isEmpty()) {
            return;
        }
        noteUp();
        carryOut();
        condemnLate();
        // A new leader first waits for a list, which shows what its predecessor rented.
        if (now - ledSince > 1000 * context.settings().listLagS() && !listed.isEmpty()
                || now - ledSince > 10_000
                || replica.map().epoch() <= replica.map().members().size()) {
            planned = true;
            rent(unmet());
        }
    }

    private void carryOutReturn(Replica.MachineEntry entry, List<String> delete) {
        if (gone.containsAll(entry.names())) {
            if (context.now() - goneAt.computeIfAbsent(entry.key(), k -> context.now()) > KEEP_RETURNED_MS) {
                drop(entry);
            }
        } else {
            // Nothing can have been launched there since; if ever something is there, it ends first.
            entry.names().stream()
                    .filter(name -> !gone.contains(name) && idle(name))
                    .forEach(delete::add);
        }
    }

    private boolean idle(String name) {
        Machine m = machines.get(name);
        return m == null || m.live.isEmpty();
    }

    void listed(List<ListedMachine> list) {
        for (ListedMachine l : list) {
            if (machines.isGone(l.name())) {
                continue;
            }
            listed.put(l.name(), l);
            listedAt.put(l.name(), context.now());
            if (l.state() == ListedMachine.State.FAILED) {
                gone.add(l.name());
                record(l.name(), MachineFate.GONE, "failed");
            } else if (l.state() == ListedMachine.State.RUNNING) {
                machines.learn(l.name(), l.address(), l.type(), l.zone(), l.spot());
            } else if (!booting.containsKey(l.name()) && !up.contains(l.name()) && !gone.contains(l.name())) {
                booting.put(
                        l.name(),
                        new Rental(l.type(), l.zone(), l.spot(), 1, context.now() - (long) (l.ageS() * 1000)));
            }
        }
        listed.keySet().removeIf(name -> context.now() - listedAt.get(name) > 20_000);
    }

    private void noteUp() {
        for (Machine m : machines.all()) {
            if (m.heardAt != 0 || !m.live.isEmpty() || machines.listedByOwner(m)) {
                up.add(m.name);
            }
        }
        up.removeIf(machines::isGone);
        booting.keySet().removeIf(name -> up.contains(name) || machines.isGone(name));
        rentals.values().removeIf(r -> context.now() - r.at > 30_000);
    }

    /** Acts on the machines' records. */
    private void carryOut() {
        List<String> delete = new ArrayList<>();
        for (Replica.MachineEntry entry : replica.machineRecords()) {
            switch (entry.record().fate()) {
                case RETURN -> carryOutReturn(entry, delete);
                case DELETE -> {
                    if (gone.containsAll(entry.names())) {
                        replace(entry, MachineFate.GONE, "deleted");
                    } else {
                        delete.addAll(entry.names());
                    }
                }
                case GONE -> {
                    long since = goneAt.computeIfAbsent(entry.key(), k -> context.now());
                    if (context.now() - since < KEEP_GONE_MS / 2) {
                        entry.names().stream().filter(listed::containsKey).forEach(delete::add);
                    } else if (context.now() - since > KEEP_GONE_MS
                            && entry.names().stream().allMatch(this::idle)) {
                        drop(entry);
                    }
                }
            }
        }
        delete.removeIf(name -> context.now() - deletingAt.getOrDefault(name, -1_000_000L) < DELETE_RETRY_MS);
        if (!delete.isEmpty()) {
            List<String> some = List.copyOf(delete.subList(0, Math.min(100, delete.size())));
            some.forEach(name -> deletingAt.put(name, context.now()));
            context.debug("deleting " + some);
            context.emit(new Effect.Delete(some));
        }
    }

    void deleted(Input.Deleted in) {
        for (String name : in.machines()) {
            if (in.gone()) {
                listed.remove(name);
                booting.remove(name);
                gone.add(name);
            }
        }
        if (membership.leads()) {
            carryOut();
        }
    }

    void rented(Input.Rented in) {
        Rental rental = rentals.get(in.request());
        if (rental == null) {
            return;
        }
        Place place = new Place(rental.type, rental.zone, rental.spot);
        switch (in.status()) {
            case RENTED -> {
                rentals.remove(in.request());
                in.machines().forEach(name -> booting.put(name, rental));
                context.info("rented " + in.machines() + " " + place);
                if (in.machines().size() < rental.count) {
                    scarceUntil.put(place, context.now() + SCARCE_MS);
                }
            }
            case NO_CAPACITY -> {
                rentals.remove(in.request());
                scarceUntil.put(place, context.now() + SCARCE_MS);
                context.debug("no capacity for " + place);
            }
            // The request may be carried out late: the machines then show up in reports and lists.
            case INVALID, UNKNOWN -> {
                rentals.remove(in.request());
                scarceUntil.put(place, context.now() + 3000);
            }
        }
        if (planned && membership.leads()) {
            rent(unmet());
        }
    }

    /** Machines that did not come up in good time are charged for nothing. */
    private void condemnLate() {
        booting.forEach((name, rental) -> {
            MachineType type = machines.type(rental.type);
            double patience = type == null
                    ? 300
                    : type.bootS() * context.settings().tuning().bootPatience();
            if (context.now() - rental.at > patience * 1000
                    && !replica.machines().containsKey(name)) {
                context.info("machine " + name + " did not come up, to be deleted");
                record(name, MachineFate.DELETE, "never came up");
            }
        });
    }

    /**
     * Tasks that neither machines that are up nor those on their way have room for, in slots for a whole machine life.
     */
    private Map<JobEntry, Double> unmet() {
        // One list a place, so that a job looks only at machines that it may use, and each full one is dropped at once.
        Map<Place, List<Bin>> bins = new LinkedHashMap<>();
        for (Machine m : machines.all()) {
            MachineType type = machines.type(m);
            if (type != null && takesTasks(m) && m.use.cpus() < type.cpus()) {
                add(bins, new Bin(type, m.zone, m.spot, new Use(m.use)));
            }
        }
        booting.forEach((name, r) -> {
            MachineType type = machines.type(r.type);
            if (type != null && !replica.machines().containsKey(name) && context.now() - r.at < 2000 * type.bootS()) {
                add(bins, new Bin(type, r.zone, r.spot, new Use()));
            }
        });
        for (Rental r : rentals.values()) {
            MachineType type = machines.type(r.type);
            for (int i = 0; type != null && i < r.count; i++) {
                add(bins, new Bin(type, r.zone, r.spot, new Use()));
            }
        }
        Map<JobEntry, Double> unmet = new LinkedHashMap<>();
        Map<String, Use> more = new HashMap<>();
        List<JobEntry> jobs = new ArrayList<>();
        for (JobEntry job : replica.jobs()) {
            if (job.job() != null && !job.aborted() && !faulty(job) && job.waiting() > 0) {
                jobs.add(job);
            }
        }
        // Those with the fewest types to choose from come first, and the others take what they leave.
        jobs.sort(Comparator.comparingInt(j -> machines.choices(j.shape())));
        Set<Job.Shape> full = new HashSet<>();
        for (JobEntry job : jobs) {
            Job spec = job.job();
            Use team = more.computeIfAbsent(spec.team(), t -> new Use(machines.use(t)));
            int allowed = Math.min(job.waiting(), quota.room(spec, team));
            team.add(spec, Math.max(0, allowed));
            int left = full.contains(job.shape()) ? allowed : fill(bins, job, allowed);
            if (left > 0) {
                full.add(job.shape());
                // Short tasks share a slot one after the other while a machine is there. Where no machine would ever
                // do, the smallest demand still needs one, or the job would wait for ever.
                double slots = left * Math.min(1, Math.max(0.1, spec.estimateS() / SLOT_S));
                unmet.put(job, hosted(spec, job.shape()) ? slots : Math.max(slots, mostOnOne(spec)));
            }
        }
        return unmet;
    }

    private static void add(Map<Place, List<Bin>> bins, Bin bin) {
        bins.computeIfAbsent(new Place(bin.type.name(), bin.zone, bin.spot), p -> new ArrayList<>())
                .add(bin);
    }

    /** Puts tasks into the bins; returns how many find no room. */
    private static int fill(Map<Place, List<Bin>> bins, JobEntry job, int tasks) {
        int left = tasks;
        for (Map.Entry<Place, List<Bin>> e : bins.entrySet()) {
            Place place = e.getKey();
            if (left > 0 && job.job().allows(place.type, place.zone, place.spot)) {
                for (Iterator<Bin> i = e.getValue().iterator(); i.hasNext() && left > 0; ) {
                    Bin bin = i.next();
                    left -= bin.take(job.job(), left);
                    if (bin.use.cpus() >= bin.type.cpus()) {
                        i.remove();
                    }
                }
            }
        }
        return left;
    }

    /** True if there is or soon will be a machine on which tasks of the shape can run at all. */
    private boolean hosted(Job spec, Job.Shape shape) {
        for (Machine m : machines.all()) {
            MachineType type = machines.type(m);
            if (type != null && type.holds(shape) && spec.allows(m.type, m.zone, m.spot) && takesTasks(m)) {
                return true;
            }
        }
        return booting.values().stream()
                .anyMatch(r -> machines.type(r.type) != null
                        && machines.type(r.type).holds(shape)
                        && spec.allows(r.type, r.zone, r.spot));
    }

    private boolean takesTasks(Machine m) {
        if (m.owner == null || replica.machines().containsKey(m.name)) {
            return false;
        }
        return m.owner.equals(context.settings().node()) ? placement.takesTasks(m) : machines.listedByOwner(m);
    }

    private boolean faulty(JobEntry job) {
        Work work = machines.knownWork(job.id);
        return work != null && work.faulty();
    }

    private int mostOnOne(Job job) {
        return machines.types().stream().mapToInt(t -> t.fits(job)).max().orElse(1);
    }

    private void rent(Map<JobEntry, Double> unmet) {
        if (rentals.size() >= 3) {
            return;
        }
        Map<Place, Double> wanted = new LinkedHashMap<>();
        unmet.forEach((job, slots) -> {
            Place place = cheapest(job.job());
            if (place != null) {
                wanted.merge(place, slots / machines.type(place.type).fits(job.job()), Double::sum);
            }
        });
        wanted.forEach((place, amount) -> {
            int count = (int) Math.min(50, Math.ceil(amount - 0.2));
            if (count > 0 && rentals.size() < 3) {
                String request = "dewlane-" + Long.toHexString(context.random().nextLong())
                        + Long.toHexString(context.random().nextLong());
                rentals.put(request, new Rental(place.type, place.zone, place.spot, count, context.now()));
                context.emit(new Effect.Rent(request, place.type, place.zone, place.spot, count));
            }
        });
    }

    /** Where a task of the job costs least, by price, room and the time lost to boot and fetch. */
    private Place cheapest(Job job) {
        Place best = null;
        double bestCost = 0;
        for (MachineType type : machines.types()) {
            int fits = type.fits(job);
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    Place place = new Place(type.name(), zone, spot);
                    if (fits < 1
                            || !job.allows(type.name(), zone, spot)
                            || (!spot && !worthOrdinary(job))
                            || scarceUntil.getOrDefault(place, 0L) > context.now()) {
                        continue;
                    }
                    double cost = type.price(spot)
                            / fits
                            * (1 + RIVAL * machines.rivals(job.shape(), type))
                            * (1 + (type.bootS() + job.imageGb() / type.fetchGbPerS()) / 300);
                    if (best == null || cost < bestCost) {
                        best = place;
                        bestCost = cost;
                    }
                }
            }
        }
        return best;
    }

    private boolean worthOrdinary(Job job) {
        return job.priority() != Priority.IDLE
                || !job.spot()
                || context.wall() - job.acceptedMs() > IDLE_PRIORITY_WAIT_MS;
    }

    private void record(String name, MachineFate fate, String reason) {
        Replica.MachineEntry known = replica.machines().get(name);
        if (known == null) {
            write(Keys.machine(name), 0, new MachineRecord(fate, reason, List.of()));
        } else if (known.record().fate() != fate && known.record().names().isEmpty()) {
            replace(known, fate, reason);
        }
    }

    private void replace(Replica.MachineEntry entry, MachineFate fate, String reason) {
        write(
                entry.key(),
                entry.version(),
                new MachineRecord(fate, reason, entry.record().names()));
    }

    private void write(String key, long version, MachineRecord record) {
        if (writing.add(key)) {
            Txn txn = new Txn.Builder().when(key, version).set(key, record).build();
            transactions.submit(TransactionQueue.Urgency.OUTCOME, txn, (status, revision) -> writing.remove(key));
        }
    }

    private void drop(Replica.MachineEntry entry) {
        if (writing.add(entry.key())) {
            Txn txn = new Txn.Builder()
                    .when(entry.key(), entry.version())
                    .delete(entry.key())
                    .build();
            transactions.submit(TransactionQueue.Urgency.LATER, txn, (status, revision) -> {
                writing.remove(entry.key());
                goneAt.remove(entry.key());
            });
        }
    }
}
