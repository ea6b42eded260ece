package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.SchemaVersion;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Presence;
import dewlane.core.schema.StoredValue.QuotaTransfer;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.ValueSizer;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Keeps this controller's lease, its place in the map, and the map free of controllers whose lease ended.
 *
 * <p>Every change of the map has a higher epoch, and so has every start of a controller: a controller that restarts
 * within its old lease takes its old place again, so no machine changes hands, but under an epoch whose tokens it has
 * never used.
 */
public final class Membership {
    private static final long ISOLATED_MS = 2000;
    /** Without an answer for so long the state service counts as out of reach: leases are renewed more often. */
    private static final long REACHED_MS = 2000;
    /** Take-overs that come close together share a map. */
    private static final long CLAIM_MS = 2000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final PeerTable peers;
    private final TransactionQueue transactions;
    private final PartitionMapBuilder maps;
    private final String self;
    private final Map<String, Long> missingSince = new HashMap<>();
    private final Set<String> claims = new HashSet<>();
    /** What is to be lent with the next map: a share's change for this controller and its opposite for another. */
    private final List<QuotaTransfer> lending = new ArrayList<>();

    private long lease;
    private boolean leaseAsked;
    private long touchedAt;
    private boolean touching;
    private long askedAt;
    private boolean writing;
    private long writtenAt;
    private long joinedAs;
    private long contactAt;
    private long newerSince;
    private long claimedAt = Long.MIN_VALUE / 2;

    public Membership(
            ControllerContext context,
            StoreReplica replica,
            PeerTable peers,
            TransactionQueue transactions,
            ValueSizer size) {
        this.maps = new PartitionMapBuilder(context, replica, size);
        this.context = context;
        this.replica = replica;
        this.peers = peers;
        this.transactions = transactions;
        this.self = context.settings().node();
    }

    public void contact() {
        contactAt = context.now();
    }

    /** True if the state service has answered lately. */
    public boolean reachesState() {
        return silence() <= REACHED_MS;
    }

    /** Milliseconds since the state service last answered. */
    public long silence() {
        return context.now() - contactAt;
    }

    /** True while the map holds this start of this controller. */
    public boolean joined() {
        PartitionMap map = replica.map();
        return map != null && joinedAs != 0 && map.incarnation(self) == joinedAs;
    }

    /**
     * True if this controller reaches neither the state service nor another controller for so long that its lease must
     * have ended. The others have taken its part over then, and its workers had better go to them; in an outage for all
     * the others are heard, and the workers are kept.
     */
    boolean isolated() {
        long ms = context.settings().tuning().memberTtlMs() + ISOLATED_MS;
        return silence() > ms && peers.noneHeard(ms);
    }

    /** The epoch at which this controller last joined. */
    public long incarnation() {
        return joinedAs;
    }

    /** True if a peer has shown a newer map for longer than the watch should take, so that this one is out of date. */
    boolean superseded() {
        return newerSince != 0 && context.now() - newerSince > 1000;
    }

    public void peerEpoch(long epoch) {
        if (replica.map() == null || epoch <= replica.map().epoch()) {
            newerSince = 0;
        } else if (newerSince == 0) {
            newerSince = context.now();
        }
    }

    /**
     * True if every controller of the deployment has shown that it knows the present form of stored values. One that is
     * down counts as older until it has: it may come back as it was. What those that are not there have shown is in the
     * map, from which an older version drops it as it joins.
     */
    public boolean allUpgraded() {
        return replica.map() != null && context.settings().peers().stream().allMatch(this::isUpgraded);
    }

    private boolean isUpgraded(String node) {
        Presence presence = replica.presences().get(node);
        int format =
                presence != null ? presence.format() : replica.map().formats().getOrDefault(node, SchemaVersion.FIRST);
        return format >= SchemaVersion.CURRENT;
    }

    public boolean leads() {
        return joined() && self.equals(Partitioner.leader(replica.map()));
    }

    public void granted(long granted) {
        leaseAsked = false;
        if (granted != 0) {
            lease = granted;
            touchedAt = context.now();
        }
    }

    public void touched(Input.LeaseRenewalCompleted touched) {
        touching = false;
        if (touched.lease() == lease && touched.ended()) {
            context.info("lease ended, joining again");
            lease = 0;
            joinedAs = 0;
        }
    }

    public void tick(boolean loaded) {
        long now = context.now();
        if (lease == 0) {
            if (!leaseAsked || now - askedAt > 3000) {
                leaseAsked = true;
                askedAt = now;
                context.emit(new Effect.GrantLease(context.settings().tuning().memberTtlMs()));
            }
        } else if (now - touchedAt >= context.settings().tuning().memberTtlMs() / 4
                && (!touching || now - touchedAt > 1500)) {
            touching = true;
            touchedAt = now;
            context.emit(new Effect.RenewLease(lease));
        }
        if (loaded && lease != 0 && !writing && replica.revision() >= writtenAt) {
            if (!joined()) {
                join();
            } else {
                evictMissing();
                if (!writing) {
                    takeOver();
                }
                if (!writing && !lending.isEmpty()) {
                    writeLoans();
                }
            }
        }
    }

    private void join() {
        PartitionMap map = replica.map();
        long epoch = map == null ? 1 : map.epoch() + 1;
        List<Member> members = map == null
                ? new ArrayList<>()
                : map.members().stream()
                        .filter(m -> !m.name().equals(self))
                        .collect(Collectors.toCollection(ArrayList::new));
        members.add(new Member(self, epoch));
        write(
                new Transaction.Builder()
                        .when(StoreKeys.MAP, replica.mapVersion())
                        .set(StoreKeys.MAP, maps.next(epoch, members, Map.of()))
                        .setLeased(StoreKeys.presence(self), new Presence(epoch), lease)
                        .build(),
                epoch);
    }

    private void evictMissing() {
        PartitionMap map = replica.map();
        int rank = 0;
        for (Member m : map.members()) {
            if (m.name().equals(self)) {
                break;
            }
            rank += replica.presences().containsKey(m.name()) ? 1 : 0;
        }
        Transaction.Builder txn = new Transaction.Builder().when(StoreKeys.MAP, replica.mapVersion());
        List<Member> left = new ArrayList<>();
        for (Member m : map.members()) {
            boolean here = m.name().equals(self) || replica.presences().containsKey(m.name());
            if (here) {
                missingSince.remove(m.name());
                left.add(m);
                continue;
            }
            long since = missingSince.computeIfAbsent(m.name(), k -> context.now());
            if (context.now() - since >= 300L * rank) {
                txn.when(StoreKeys.presence(m.name()), 0);
                context.info("controller " + m.name() + " let its lease end, leaving it out of the map");
            } else {
                left.add(m);
            }
        }
        if (left.size() < map.members().size()) {
            missingSince.clear();
            write(
                    txn.set(StoreKeys.MAP, maps.next(map.epoch() + 1, left, Map.of()))
                            .build(),
                    joinedAs);
        }
    }

    /** Takes a machine over that cannot reach its owner; the map says so as soon as it can be written. */
    public void claim(String machine) {
        claims.add(machine);
    }

    /**
     * Lends another controller some of this one's share of a team's limit; the map says so as soon as it can be
     * written.
     */
    public void lend(String team, String to, double cpus, double gpus) {
        lending.add(new QuotaTransfer(team, to, cpus, gpus));
        lending.add(new QuotaTransfer(team, self, -cpus, -gpus));
    }

    private void writeLoans() {
        // One that has left in the meantime would take its loan with it.
        boolean there = lending.stream().allMatch(l -> replica.map().has(l.node()));
        PartitionMap lent = maps.lent(there ? lending : List.of());
        lending.clear();
        write(
                new Transaction.Builder()
                        .when(StoreKeys.MAP, replica.mapVersion())
                        .set(StoreKeys.MAP, lent)
                        .build(),
                joinedAs);
    }

    private void takeOver() {
        PartitionMap map = replica.map();
        claims.removeIf(m ->
                self.equals(Partitioner.owner(map, m)) || replica.machines().containsKey(m));
        if (!claims.isEmpty() && context.now() - claimedAt > CLAIM_MS) {
            claimedAt = context.now();
            context.info("taking over machines that cannot reach their controller: " + claims);
            Map<String, String> claimed = new HashMap<>();
            claims.stream().limit(PartitionMapBuilder.MOST_MOVED).forEach(m -> claimed.put(m, self));
            claims.removeAll(claimed.keySet());
            write(
                    new Transaction.Builder()
                            .when(StoreKeys.MAP, replica.mapVersion())
                            .set(StoreKeys.MAP, maps.next(map.epoch() + 1, map.members(), claimed))
                            .build(),
                    joinedAs);
        }
    }

    private void write(Transaction txn, long incarnation) {
        writing = true;
        transactions.submit(TransactionQueue.Urgency.MEMBERSHIP, txn, (status, revision) -> {
            writing = false;
            writtenAt = revision;
            if (status == Transaction.Status.COMMITTED) {
                joinedAs = incarnation;
            } else if (status == Transaction.Status.INVALID) {
                // The lease ended while the write was under way.
                lease = 0;
            }
        });
    }
}
