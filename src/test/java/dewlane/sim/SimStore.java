package dewlane.sim;

import dewlane.core.Input;
import dewlane.core.Keys;
import dewlane.core.Transaction;
import dewlane.core.Value;
import dewlane.wire.StateWire;
import dewlane.wire.ValueCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service: conditional writes, leases and a watch, with outages, refusals to one node and late writes. */
final class SimStore {
    private record Held(Value value, long version, long lease) {}

    private record Watch(SimController node, int life, long since, long openedAt) {}

    /** How long a watch blocks without a change, and how long its caller waits for it in all. */
    private static final long BLOCK_MS = 1000;

    private static final long WATCH_TIMEOUT_MS = 2500;

    private final SimCluster world;
    private final TreeMap<String, Held> keys = new TreeMap<>();
    private final List<Input.Change> log = new ArrayList<>();
    private final Map<Long, Long> leases = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    final Set<String> refused = new HashSet<>();
    boolean out;
    /** How long the answers of watches take beyond the usual. */
    int watchLagMs;
    /** How long an answer takes at most beyond the usual. */
    int slowMs;
    /** The share of transactions that get no answer and are carried out seconds later, after newer ones. */
    double lateWrites;
    /**
     * The share of transactions that are carried out at once while only the answer is lost; how many changed something.
     */
    double lostAnswers;

    int answersLost;
    /** Transactions carried out late, and how many of them still changed something. */
    int lateTried;

    int lateApplied;
    /** Puts and deletes so far but of machines' records, and the longest value and transaction, in bytes. */
    long changes;

    long machineChanges;
    int longestValue;
    int longestTxn;
    private final SimTokenBucket writeRate = new SimTokenBucket();
    private final SimTokenBucket requestRate = new SimTokenBucket();
    /** Requests so far but watches that wait, and those refused for their rate. */
    int requests;

    int requestsRefused;
    final SimStoreLimits limits;

    private long revision;
    private long nextLease = 1;

    SimStore(SimCluster world) {
        this.world = world;
        this.limits = new SimStoreLimits(world);
        world.every(50, this::expire);
    }

    Value get(String key) {
        Held held = keys.get(key);
        return held == null ? null : held.value;
    }

    /** Sets a key as a test wants it to be. */
    void put(String key, Value value) {
        revision++;
        keys.put(key, new Held(value, revision, 0));
        log.add(new Input.Change(key, value, revision));
        notifyWatches();
    }

    Map<String, Value> all(String prefix) {
        Map<String, Value> found = new TreeMap<>();
        keys.subMap(prefix, prefix + "\uffff").forEach((k, v) -> found.put(k, v.value));
        return found;
    }

    private boolean serves(SimController node) {
        return !out && !refused.contains(node.name);
    }

    void list(SimController node) {
        node.callState(
                () -> {
                    if (!serves(node) || !withinRequests()) {
                        return new Input.ListFailed();
                    }
                    List<Input.Row> rows = new ArrayList<>();
                    keys.forEach((k, v) -> {
                        if (!k.startsWith(Keys.FINALS)) {
                            rows.add(new Input.Row(k, v.value, v.version));
                        }
                    });
                    return new Input.StateListed(rows, revision, revision);
                },
                new Input.ListFailed(),
                3000);
    }

    void watch(SimController node, long since) {
        int life = node.life;
        world.after(60, () -> {
            if (node.life == life) {
                Watch watch = new Watch(node, life, since, world.now());
                watches.add(watch);
                notifyWatches();
                world.after(BLOCK_MS, this::notifyWatches);
                world.after(WATCH_TIMEOUT_MS, () -> {
                    if (watches.remove(watch)) {
                        node.hear(life, new Input.WatchFailed(false));
                    }
                });
            }
        });
    }

    private void notifyWatches() {
        if (out) {
            return;
        }
        List<Watch> left = new ArrayList<>();
        for (Watch w : List.copyOf(watches)) {
            if (w.node.life != w.life) {
                continue;
            }
            boolean blocks = w.since >= revision && world.now() - w.openedAt < BLOCK_MS;
            if (refused.contains(w.node.name) || !w.node.stateReachable() || blocks) {
                left.add(w);
                continue;
            }
            List<Input.Change> changes =
                    log.stream().filter(c -> c.version() > w.since).toList();
            long at = revision;
            world.after(world.between(1, 6) + watchLagMs, () -> w.node.hear(w.life, new Input.Changes(changes, at)));
        }
        watches.clear();
        watches.addAll(left);
    }

    void txn(SimController node, long id, Transaction txn) {
        limits.check(node, txn);
        if (lateWrites > 0 && world.chance(lateWrites) && node.stateReachable()) {
            int of = node.life;
            world.after(world.between(2000, 12_000), () -> {
                if (!out) {
                    lateTried++;
                    Input answer = apply(id, txn);
                    lateApplied +=
                            answer instanceof Input.TxnAnswer a && a.status() == Transaction.Status.COMMITTED ? 1 : 0;
                }
            });
            world.after(1500, () -> node.hear(of, new Input.TxnAnswer(id, Transaction.Status.UNKNOWN, 0)));
            return;
        }
        if (lostAnswers > 0 && world.chance(lostAnswers) && node.stateReachable()) {
            int of = node.life;
            world.deliver(() -> {
                if (serves(node) && apply(id, txn) instanceof Input.TxnAnswer a) {
                    answersLost += a.status() == Transaction.Status.COMMITTED ? 1 : 0;
                }
            });
            world.after(1500, () -> node.hear(of, new Input.TxnAnswer(id, Transaction.Status.UNKNOWN, 0)));
            return;
        }
        node.callState(
                () -> serves(node) && withinRequests()
                        ? apply(id, txn)
                        : new Input.TxnAnswer(id, Transaction.Status.REFUSED, 0),
                new Input.TxnAnswer(id, Transaction.Status.UNKNOWN, 0),
                1500);
    }

    /** True if a request is within the rate. */
    private boolean withinRequests() {
        requests++;
        boolean within = requestRate.take(1, world.settings.stateRps(), world.now());
        requestsRefused += within ? 0 : 1;
        return within;
    }

    private Input apply(long id, Transaction txn) {
        if (!writeRate.take(txn.apply().size(), limits.now().writeRps(), world.now())) {
            return new Input.TxnAnswer(id, Transaction.Status.OVER_RATE, 0);
        }
        if (limits.exceededBy(txn)) {
            return new Input.TxnAnswer(id, Transaction.Status.INVALID, 0);
        }
        for (Transaction.Write w : txn.apply()) {
            if (w.lease() != 0 && !leases.containsKey(w.lease())) {
                return new Input.TxnAnswer(id, Transaction.Status.INVALID, 0);
            }
        }
        for (Transaction.Guard g : txn.when()) {
            Held held = keys.get(g.key());
            if ((held == null ? 0 : held.version) != g.version() && !unguarded(g.key())) {
                return new Input.TxnAnswer(id, Transaction.Status.CONFLICT, revision);
            }
        }
        int bytes = StateWire.txn(txn).length;
        machineChanges += txn.apply().stream()
                .filter(w -> w.key().startsWith(Keys.MACHINES))
                .count();
        changes += txn.apply().stream()
                .filter(w -> !w.key().startsWith(Keys.MACHINES))
                .count();
        longestTxn = Math.max(longestTxn, bytes);
        if (!txn.apply().isEmpty()) {
            revision++;
        }
        for (Transaction.Write w : txn.apply()) {
            int length = w.value() == null ? 0 : ValueCodec.bytes(w.value()).length;
            longestValue = Math.max(longestValue, length);
            if (w.value() == null) {
                if (keys.remove(w.key()) != null) {
                    log.add(new Input.Change(w.key(), null, revision));
                }
            } else {
                keys.put(w.key(), new Held(w.value(), revision, w.lease()));
                log.add(new Input.Change(w.key(), w.value(), revision));
            }
        }
        notifyWatches();
        return new Input.TxnAnswer(id, Transaction.Status.COMMITTED, revision);
    }

    /** The conditions that a test has removed. */
    private boolean unguarded(String key) {
        return switch (world.broken) {
            case TEAM_GUARD -> key.startsWith(Keys.TEAMS);
            case SLICE_GUARD -> key.startsWith(Keys.SLICES);
            case JOB_GUARD -> key.startsWith(Keys.JOBS);
            default -> false;
        };
    }

    void read(SimController node, long id, String key) {
        node.callState(
                () -> {
                    Held held = keys.get(key);
                    return serves(node) && withinRequests()
                            ? new Input.ValueRead(
                                    id, true, held == null ? null : held.value, held == null ? 0 : held.version)
                            : new Input.ValueRead(id, false, null, 0);
                },
                new Input.ValueRead(id, false, null, 0),
                1500);
    }

    void readRevision(SimController node) {
        node.callState(
                () -> serves(node) && withinRequests()
                        ? new Input.RevisionRead(true, revision)
                        : new Input.RevisionRead(false, 0),
                new Input.RevisionRead(false, 0),
                1500);
    }

    void grant(SimController node, long ttl) {
        node.callState(
                () -> {
                    if (!serves(node) || !withinRequests()) {
                        return new Input.LeaseGranted(0);
                    }
                    long lease = nextLease++;
                    leases.put(lease, world.now() + ttl);
                    return new Input.LeaseGranted(lease);
                },
                new Input.LeaseGranted(0),
                1500);
    }

    void touch(SimController node, long lease, long ttl) {
        node.callState(
                () -> {
                    if (!serves(node) || !withinRequests()) {
                        return new Input.LeaseTouched(lease, false, false);
                    }
                    boolean there = leases.containsKey(lease);
                    if (there) {
                        leases.put(lease, world.now() + ttl);
                    }
                    return new Input.LeaseTouched(lease, there, !there);
                },
                new Input.LeaseTouched(lease, false, false),
                1000);
    }

    void outage(long ms) {
        out = true;
        long began = world.now();
        world.after(ms, () -> {
            out = false;
            leases.replaceAll((lease, until) -> until + world.now() - began);
            notifyWatches();
        });
    }

    private void expire() {
        if (out) {
            return;
        }
        List<Long> ended = leases.entrySet().stream()
                .filter(e -> e.getValue() < world.now())
                .map(Map.Entry::getKey)
                .toList();
        for (long lease : ended) {
            leases.remove(lease);
            List<String> dead = keys.entrySet().stream()
                    .filter(e -> e.getValue().lease == lease)
                    .map(Map.Entry::getKey)
                    .toList();
            if (!dead.isEmpty()) {
                revision++;
                for (String key : dead) {
                    keys.remove(key);
                    log.add(new Input.Change(key, null, revision));
                }
            }
        }
        notifyWatches();
    }
}
