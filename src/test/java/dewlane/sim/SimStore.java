package dewlane.sim;

import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.Transaction;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * The simulated store: conditional transactions, reads, leases and watches. Faults are outages, refusal of single
 * controllers, and those of {@link SimStoreWrites}.
 */
final class SimStore {
    private record VersionedValue(StoredValue value, long version, long lease) {}

    private static final long LIST_TIMEOUT_MS = 3000;
    static final long REQUEST_TIMEOUT_MS = 1500;
    private static final long RENEWAL_TIMEOUT_MS = 1000;
    private static final long LEASE_CHECK_INTERVAL_MS = 50;

    private final SimCluster cluster;
    private final TreeMap<String, VersionedValue> keys = new TreeMap<>();
    private final List<Input.KeyChange> log = new ArrayList<>();
    private final SimLeases leases;
    private final SimWatches watches;
    private final SimTokenBucket writeBucket = new SimTokenBucket();
    private final SimTokenBucket requestBucket = new SimTokenBucket();
    final SimStoreLimits limits;
    final SimStoreUsage usage = new SimStoreUsage();
    final SimStoreWrites writes;
    private long revision;

    final Set<String> refusedControllers = new HashSet<>();
    boolean unavailable;
    /** Additional delay of the watches' replies. */
    int watchLagMs;
    /** The highest additional delay of a reply. */
    int extraLatencyMs;

    SimStore(SimCluster cluster) {
        this.cluster = cluster;
        this.limits = new SimStoreLimits(cluster);
        this.leases = new SimLeases(cluster);
        this.watches = new SimWatches(cluster, this);
        this.writes = new SimStoreWrites(cluster, this);
        cluster.every(LEASE_CHECK_INTERVAL_MS, this::expireLeases);
    }

    StoredValue get(String key) {
        VersionedValue stored = keys.get(key);
        return stored == null ? null : stored.value;
    }

    /** Sets a key unconditionally, for a test. */
    void put(String key, StoredValue value) {
        revision++;
        keys.put(key, new VersionedValue(value, revision, 0));
        log.add(new Input.KeyChange(key, value, revision));
        watches.notifyAllDue();
    }

    Map<String, StoredValue> scan(String prefix) {
        Map<String, StoredValue> found = new TreeMap<>();
        keys.subMap(prefix, prefix + "\uffff").forEach((key, stored) -> found.put(key, stored.value));
        return found;
    }

    long revision() {
        return revision;
    }

    List<Input.KeyChange> changesAfter(long since) {
        return log.stream().filter(change -> change.revision() > since).toList();
    }

    boolean accepts(SimController controller) {
        return !unavailable && !refusedControllers.contains(controller.name);
    }

    /** Takes a token from the request rate limit; false if the request exceeds it. */
    private boolean withinRequestRate() {
        boolean within = requestBucket.take(1, cluster.settings.storeRequestsPerS(), cluster.now());
        usage.countRequest(within);
        return within;
    }

    /** Sends a request that fails with the same input whether it is refused or lost. */
    private void request(SimController controller, Supplier<Input> service, Input failure, long timeoutMs) {
        controller.requestStore(
                () -> accepts(controller) && withinRequestRate() ? service.get() : failure, failure, timeoutMs);
    }

    void list(SimController controller) {
        request(controller, this::listing, new Input.StoreListFailed(), LIST_TIMEOUT_MS);
    }

    private Input listing() {
        List<Input.StoreRow> rows = new ArrayList<>();
        keys.forEach((key, stored) -> {
            if (!key.startsWith(StoreKeys.JOB_RESULTS)) {
                rows.add(new Input.StoreRow(key, stored.value, stored.version));
            }
        });
        return new Input.StoreListed(rows, revision, revision);
    }

    void read(SimController controller, long id, String key) {
        request(
                controller,
                () -> {
                    VersionedValue stored = keys.get(key);
                    return stored == null
                            ? new Input.ValueRead(id, Optional.empty())
                            : new Input.ValueRead(id, Optional.of(stored.value));
                },
                new Input.ValueReadFailed(id),
                REQUEST_TIMEOUT_MS);
    }

    void readRevision(SimController controller) {
        request(controller, () -> new Input.RevisionRead(revision), new Input.RevisionReadFailed(), REQUEST_TIMEOUT_MS);
    }

    void watch(SimController controller, Effect.Watch watch) {
        watches.open(controller, watch);
    }

    void grantLease(SimController controller, long ttlMs) {
        request(
                controller,
                () -> {
                    cluster.repeats.onCarriedOut(() -> leases.grant(ttlMs));
                    return new Input.LeaseGranted(leases.grant(ttlMs));
                },
                new Input.LeaseGrantFailed(),
                REQUEST_TIMEOUT_MS);
    }

    void renewLease(SimController controller, long lease, long ttlMs) {
        request(
                controller,
                () -> {
                    boolean renewed = leases.renew(lease, ttlMs);
                    cluster.repeats.onCarriedOut(() -> leases.renew(lease, ttlMs));
                    return new Input.LeaseRenewalCompleted(
                            lease, renewed ? Input.RenewalStatus.RENEWED : Input.RenewalStatus.EXPIRED);
                },
                new Input.LeaseRenewalCompleted(lease, Input.RenewalStatus.UNKNOWN),
                RENEWAL_TIMEOUT_MS);
    }

    void commit(SimController controller, long id, Transaction transaction) {
        limits.check(controller, transaction);
        writes.commit(controller, id, transaction);
    }

    /** Applies a transaction if the store accepts requests of the controller. */
    Input.TransactionCompleted applyIfAccepted(SimController controller, long id, Transaction transaction) {
        return accepts(controller) && withinRequestRate()
                ? apply(id, transaction)
                : new Input.TransactionCompleted(id, Transaction.Status.UNAVAILABLE, 0);
    }

    Input.TransactionCompleted apply(long id, Transaction transaction) {
        if (!writeBucket.take(transaction.writes().size(), limits.current().writesPerS(), cluster.now())) {
            return new Input.TransactionCompleted(id, Transaction.Status.RATE_LIMITED, 0);
        }
        if (limits.exceededBy(transaction) || usesExpiredLease(transaction)) {
            return new Input.TransactionCompleted(id, Transaction.Status.INVALID, 0);
        }
        if (!preconditionsHold(transaction)) {
            return new Input.TransactionCompleted(id, Transaction.Status.CONFLICT, revision);
        }
        usage.count(transaction);
        if (!transaction.writes().isEmpty()) {
            revision++;
        }
        transaction.writes().forEach(this::write);
        watches.notifyAllDue();
        return new Input.TransactionCompleted(id, Transaction.Status.COMMITTED, revision);
    }

    private boolean usesExpiredLease(Transaction transaction) {
        return transaction.writes().stream().anyMatch(write -> write.lease() != 0 && !leases.isValid(write.lease()));
    }

    private boolean preconditionsHold(Transaction transaction) {
        return transaction.preconditions().stream().allMatch(precondition -> {
            VersionedValue stored = keys.get(precondition.key());
            long version = stored == null ? 0 : stored.version;
            return version == precondition.version() || isPreconditionDisabled(precondition.key());
        });
    }

    /** True if the test has disabled preconditions on keys of this kind. */
    private boolean isPreconditionDisabled(String key) {
        return switch (cluster.disabledCheck) {
            case TEAM_PRECONDITION -> key.startsWith(StoreKeys.TEAM_USAGES);
            case SLICE_PRECONDITION -> key.startsWith(StoreKeys.SLICES);
            case JOB_PRECONDITION -> key.startsWith(StoreKeys.JOBS);
            default -> false;
        };
    }

    private void write(Transaction.Write write) {
        if (write.value() != null) {
            keys.put(write.key(), new VersionedValue(write.value(), revision, write.lease()));
            log.add(new Input.KeyChange(write.key(), write.value(), revision));
        } else if (keys.remove(write.key()) != null) {
            log.add(new Input.KeyChange(write.key(), null, revision));
        }
    }

    /** Makes the store unavailable for the given time, during which no lease expires. */
    void outage(long ms) {
        unavailable = true;
        long began = cluster.now();
        cluster.after(ms, () -> {
            unavailable = false;
            leases.extendAll(cluster.now() - began);
            watches.notifyAllDue();
        });
    }

    private void expireLeases() {
        if (unavailable) {
            return;
        }
        leases.removeExpired().forEach(this::deleteKeysOf);
        watches.notifyAllDue();
    }

    private void deleteKeysOf(long lease) {
        List<String> ended = keys.entrySet().stream()
                .filter(entry -> entry.getValue().lease == lease)
                .map(Map.Entry::getKey)
                .toList();
        if (ended.isEmpty()) {
            return;
        }
        revision++;
        for (String key : ended) {
            keys.remove(key);
            log.add(new Input.KeyChange(key, null, revision));
        }
    }
}
