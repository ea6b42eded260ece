package dewlane.sim;

import dewlane.core.message.Input;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.Transaction;
import dewlane.wire.StoreProtocol;
import dewlane.wire.StoredValueCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** The state service: conditional writes, leases and a watch, with outages, refusals to one node and late writes. */
final class SimState {
    private record Held(StoredValue value, long version, long lease) {}

    private record Watch(SimNode node, int life, long since, long openedAt) {}

    /** How long a watch blocks without a change, and how long its caller waits for it in all. */
    private static final long BLOCK_MS = 1000;

    private static final long WATCH_TIMEOUT_MS = 2500;

    private final World world;
    private final TreeMap<String, Held> keys = new TreeMap<>();
    private final List<Input.KeyChange> log = new ArrayList<>();
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
    private final SimRate writeRate = new SimRate();
    private final SimRate requestRate = new SimRate();
    /** Requests so far but watches that wait, and those refused for their rate. */
    int requests;

    int requestsRefused;
    final SimLimits limits;

    private long revision;
    private long nextLease = 1;

    SimState(World world) {
        this.world = world;
        this.limits = new SimLimits(world);
        world.every(50, this::expire);
    }

    StoredValue get(String key) {
        Held held = keys.get(key);
        return held == null ? null : held.value;
    }

    /** Sets a key as a test wants it to be. */
    void put(String key, StoredValue value) {
        revision++;
        keys.put(key, new Held(value, revision, 0));
        log.add(new Input.KeyChange(key, value, revision));
        notifyWatches();
    }

    Map<String, StoredValue> all(String prefix) {
        Map<String, StoredValue> found = new TreeMap<>();
        keys.subMap(prefix, prefix + "\uffff").forEach((k, v) -> found.put(k, v.value));
        return found;
    }

    private boolean serves(SimNode node) {
        return !out && !refused.contains(node.name);
    }

    void list(SimNode node) {
        node.callState(
                () -> {
                    if (!serves(node) || !withinRequests()) {
                        return new Input.StoreListFailed();
                    }
                    List<Input.StoreRow> rows = new ArrayList<>();
                    keys.forEach((k, v) -> {
                        if (!k.startsWith(StoreKeys.JOB_RESULTS)) {
                            rows.add(new Input.StoreRow(k, v.value, v.version));
                        }
                    });
                    return new Input.StoreListed(rows, revision, revision);
                },
                new Input.StoreListFailed(),
                3000);
    }

    void watch(SimNode node, long since) {
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
            List<Input.KeyChange> changes =
                    log.stream().filter(c -> c.revision() > w.since).toList();
            long at = revision;
            world.after(
                    world.between(1, 6) + watchLagMs, () -> w.node.hear(w.life, new Input.WatchEvents(changes, at)));
        }
        watches.clear();
        watches.addAll(left);
    }

    void txn(SimNode node, long id, Transaction transaction) {
        limits.check(node, transaction);
        if (lateWrites > 0 && world.chance(lateWrites) && node.stateReachable()) {
            int of = node.life;
            world.after(world.between(2000, 12_000), () -> {
                if (!out) {
                    lateTried++;
                    Input answer = apply(id, transaction);
                    lateApplied +=
                            answer instanceof Input.TransactionCompleted a && a.status() == Transaction.Status.COMMITTED
                                    ? 1
                                    : 0;
                }
            });
            world.after(1500, () -> node.hear(of, new Input.TransactionCompleted(id, Transaction.Status.UNKNOWN, 0)));
            return;
        }
        if (lostAnswers > 0 && world.chance(lostAnswers) && node.stateReachable()) {
            int of = node.life;
            world.deliver(() -> {
                if (serves(node) && apply(id, transaction) instanceof Input.TransactionCompleted a) {
                    answersLost += a.status() == Transaction.Status.COMMITTED ? 1 : 0;
                }
            });
            world.after(1500, () -> node.hear(of, new Input.TransactionCompleted(id, Transaction.Status.UNKNOWN, 0)));
            return;
        }
        node.callState(
                () -> serves(node) && withinRequests()
                        ? apply(id, transaction)
                        : new Input.TransactionCompleted(id, Transaction.Status.UNAVAILABLE, 0),
                new Input.TransactionCompleted(id, Transaction.Status.UNKNOWN, 0),
                1500);
    }

    /** True if a request is within the rate. */
    private boolean withinRequests() {
        requests++;
        boolean within = requestRate.take(1, world.settings.storeRequestsPerS(), world.now());
        requestsRefused += within ? 0 : 1;
        return within;
    }

    private Input apply(long id, Transaction transaction) {
        if (!writeRate.take(transaction.writes().size(), limits.now().writesPerS(), world.now())) {
            return new Input.TransactionCompleted(id, Transaction.Status.RATE_LIMITED, 0);
        }
        if (limits.exceededBy(transaction)) {
            return new Input.TransactionCompleted(id, Transaction.Status.INVALID, 0);
        }
        for (Transaction.Write w : transaction.writes()) {
            if (w.lease() != 0 && !leases.containsKey(w.lease())) {
                return new Input.TransactionCompleted(id, Transaction.Status.INVALID, 0);
            }
        }
        for (Transaction.Precondition g : transaction.preconditions()) {
            Held held = keys.get(g.key());
            if ((held == null ? 0 : held.version) != g.version() && !unguarded(g.key())) {
                return new Input.TransactionCompleted(id, Transaction.Status.CONFLICT, revision);
            }
        }
        int bytes = StoreProtocol.transactionRequest(transaction).length;
        machineChanges += transaction.writes().stream()
                .filter(w -> w.key().startsWith(StoreKeys.DECOMMISSIONS))
                .count();
        changes += transaction.writes().stream()
                .filter(w -> !w.key().startsWith(StoreKeys.DECOMMISSIONS))
                .count();
        longestTxn = Math.max(longestTxn, bytes);
        if (!transaction.writes().isEmpty()) {
            revision++;
        }
        for (Transaction.Write w : transaction.writes()) {
            int length = w.value() == null ? 0 : StoredValueCodec.encode(w.value()).length;
            longestValue = Math.max(longestValue, length);
            if (w.value() == null) {
                if (keys.remove(w.key()) != null) {
                    log.add(new Input.KeyChange(w.key(), null, revision));
                }
            } else {
                keys.put(w.key(), new Held(w.value(), revision, w.lease()));
                log.add(new Input.KeyChange(w.key(), w.value(), revision));
            }
        }
        notifyWatches();
        return new Input.TransactionCompleted(id, Transaction.Status.COMMITTED, revision);
    }

    /** The conditions that a test has removed. */
    private boolean unguarded(String key) {
        return switch (world.broken) {
            case TEAM_GUARD -> key.startsWith(StoreKeys.TEAM_USAGES);
            case SLICE_GUARD -> key.startsWith(StoreKeys.SLICES);
            case JOB_GUARD -> key.startsWith(StoreKeys.JOBS);
            default -> false;
        };
    }

    void read(SimNode node, long id, String key) {
        node.callState(
                () -> {
                    Held held = keys.get(key);
                    return serves(node) && withinRequests()
                            ? new Input.ValueRead(id, Optional.ofNullable(held == null ? null : held.value))
                            : new Input.ValueReadFailed(id);
                },
                new Input.ValueReadFailed(id),
                1500);
    }

    void readRevision(SimNode node) {
        node.callState(
                () -> serves(node) && withinRequests()
                        ? new Input.RevisionRead(revision)
                        : new Input.RevisionReadFailed(),
                new Input.RevisionReadFailed(),
                1500);
    }

    void grant(SimNode node, long ttl) {
        node.callState(
                () -> {
                    if (!serves(node) || !withinRequests()) {
                        return new Input.LeaseGrantFailed();
                    }
                    long lease = nextLease++;
                    leases.put(lease, world.now() + ttl);
                    return new Input.LeaseGranted(lease);
                },
                new Input.LeaseGrantFailed(),
                1500);
    }

    void touch(SimNode node, long lease, long ttl) {
        node.callState(
                () -> {
                    if (!serves(node) || !withinRequests()) {
                        return new Input.LeaseRenewalCompleted(lease, Input.RenewalStatus.UNKNOWN);
                    }
                    boolean there = leases.containsKey(lease);
                    if (there) {
                        leases.put(lease, world.now() + ttl);
                    }
                    return new Input.LeaseRenewalCompleted(
                            lease, there ? Input.RenewalStatus.RENEWED : Input.RenewalStatus.EXPIRED);
                },
                new Input.LeaseRenewalCompleted(lease, Input.RenewalStatus.UNKNOWN),
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
                    log.add(new Input.KeyChange(key, null, revision));
                }
            }
        }
        notifyWatches();
    }
}
