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
import dewlane.core.schema.TransactionPriority;
import dewlane.core.schema.ValueSizer;
import dewlane.core.store.StoreConnectivity;
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
    /** Take-overs that come close together share a map. */
    private static final long CLAIM_MS = 2000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final StoreConnectivity store;
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
    private long newerSince;
    private long claimedAt = Long.MIN_VALUE / 2;

    public Membership(
            ControllerContext context,
            StoreReplica replica,
            StoreConnectivity store,
            PeerTable peers,
            TransactionQueue transactions,
            ValueSizer size) {
        this.maps = new PartitionMapBuilder(context, replica, size);
        this.context = context;
        this.replica = replica;
        this.store = store;
        this.peers = peers;
        this.transactions = transactions;
        this.self = context.settings().controllerName();
    }

    /** True if the store has answered lately. */
    public boolean reachesStore() {
        return store.isReachable();
    }

    /** True while the map holds this start of this controller. */
    public boolean isMember() {
        PartitionMap map = replica.partitionMap();
        return map != null && joinedAs != 0 && map.incarnation(self) == joinedAs;
    }

    /**
     * True if this controller reaches neither the state service nor another controller for so long that its lease must
     * have ended. The others have taken its part over then, and its workers had better go to them; in an outage for all
     * the others are heard, and the workers are kept.
     */
    boolean isIsolated() {
        long ms = context.settings().tuning().memberLeaseTtlMs() + ISOLATED_MS;
        return store.silenceMs() > ms && peers.noneHeardWithin(ms);
    }

    /** The epoch at which this controller last joined. */
    public long incarnation() {
        return joinedAs;
    }

    /** True if a peer has shown a newer map for longer than the watch should take, so that this one is out of date. */
    boolean isSuperseded() {
        return newerSince != 0 && context.nowMs() - newerSince > 1000;
    }

    /** A peer has shown the epoch of its partition map. */
    public void onPeerEpoch(long epoch) {
        if (replica.partitionMap() == null || epoch <= replica.partitionMap().epoch()) {
            newerSince = 0;
        } else if (newerSince == 0) {
            newerSince = context.nowMs();
        }
    }

    /**
     * True if every controller of the deployment has shown that it knows the present form of stored values. One that is
     * down counts as older until it has: it may come back as it was. What those that are not there have shown is in the
     * map, from which an older version drops it as it joins.
     */
    public boolean allControllersUpgraded() {
        return replica.partitionMap() != null
                && context.settings().peers().stream().allMatch(this::isUpgraded);
    }

    private boolean isUpgraded(String node) {
        Presence presence = replica.presences().get(node);
        int format = presence != null
                ? presence.schemaVersion()
                : replica.partitionMap().schemaVersions().getOrDefault(node, SchemaVersion.FIRST);
        return format >= SchemaVersion.CURRENT;
    }

    /** True if this controller is the leader, which alone scales out and deletes instances. */
    public boolean isLeader() {
        return isMember() && self.equals(Partitioner.leaderOf(replica.partitionMap()));
    }

    /** The store answered a request for a lease; 0 if it granted none. */
    public void onLeaseGranted(long granted) {
        leaseAsked = false;
        if (granted != 0) {
            lease = granted;
            touchedAt = context.nowMs();
        }
    }

    /** The store answered a lease renewal. */
    public void onLeaseRenewal(Input.LeaseRenewalCompleted touched) {
        touching = false;
        if (touched.lease() == lease && touched.expired()) {
            context.info("lease ended, joining again");
            lease = 0;
            joinedAs = 0;
        }
    }

    /** Renews the lease, joins the partition map, and evicts members whose lease expired. */
    public void tick(boolean loaded) {
        long now = context.nowMs();
        if (lease == 0) {
            if (!leaseAsked || now - askedAt > 3000) {
                leaseAsked = true;
                askedAt = now;
                context.emit(new Effect.GrantLease(context.settings().tuning().memberLeaseTtlMs()));
            }
        } else if (now - touchedAt >= context.settings().tuning().memberLeaseTtlMs() / 4
                && (!touching || now - touchedAt > 1500)) {
            touching = true;
            touchedAt = now;
            context.emit(new Effect.RenewLease(lease));
        }
        if (loaded && lease != 0 && !writing && replica.revision() >= writtenAt) {
            if (!isMember()) {
                join();
            } else {
                evictMissing();
                if (!writing) {
                    writeClaims();
                }
                if (!writing && !lending.isEmpty()) {
                    writeQuotaTransfers();
                }
            }
        }
    }

    private void join() {
        PartitionMap map = replica.partitionMap();
        long epoch = map == null ? 1 : map.epoch() + 1;
        List<Member> members = map == null
                ? new ArrayList<>()
                : map.members().stream()
                        .filter(member -> !member.name().equals(self))
                        .collect(Collectors.toCollection(ArrayList::new));
        members.add(new Member(self, epoch));
        write(
                new Transaction.Builder()
                        .require(StoreKeys.PARTITION_MAP, replica.partitionMapRevision())
                        .put(StoreKeys.PARTITION_MAP, maps.next(epoch, members, Map.of()))
                        .putWithLease(StoreKeys.presence(self), new Presence(epoch), lease)
                        .build(),
                epoch);
    }

    private void evictMissing() {
        PartitionMap map = replica.partitionMap();
        int rank = 0;
        for (Member member : map.members()) {
            if (member.name().equals(self)) {
                break;
            }
            rank += replica.presences().containsKey(member.name()) ? 1 : 0;
        }
        Transaction.Builder transaction =
                new Transaction.Builder().require(StoreKeys.PARTITION_MAP, replica.partitionMapRevision());
        List<Member> left = new ArrayList<>();
        for (Member member : map.members()) {
            boolean here = member.name().equals(self) || replica.presences().containsKey(member.name());
            if (here) {
                missingSince.remove(member.name());
                left.add(member);
                continue;
            }
            long since = missingSince.computeIfAbsent(member.name(), k -> context.nowMs());
            if (context.nowMs() - since >= 300L * rank) {
                transaction.require(StoreKeys.presence(member.name()), 0);
                context.info("controller " + member.name() + " let its lease end, leaving it out of the map");
            } else {
                left.add(member);
            }
        }
        if (left.size() < map.members().size()) {
            missingSince.clear();
            write(
                    transaction
                            .put(StoreKeys.PARTITION_MAP, maps.next(map.epoch() + 1, left, Map.of()))
                            .build(),
                    joinedAs);
        }
    }

    /** Takes a machine over that cannot reach its owner; the map says so as soon as it can be written. */
    public void claimMachine(String machine) {
        claims.add(machine);
    }

    /**
     * Lends another controller some of this one's share of a team's limit; the map says so as soon as it can be
     * written.
     */
    public void transferQuota(String team, String to, double cpus, double gpus) {
        lending.add(new QuotaTransfer(team, to, cpus, gpus));
        lending.add(new QuotaTransfer(team, self, -cpus, -gpus));
    }

    private void writeQuotaTransfers() {
        // One that has left in the meantime would take its loan with it.
        boolean there =
                lending.stream().allMatch(transfer -> replica.partitionMap().hasMember(transfer.controller()));
        PartitionMap lent = maps.withQuotaTransfers(there ? lending : List.of());
        lending.clear();
        write(
                new Transaction.Builder()
                        .require(StoreKeys.PARTITION_MAP, replica.partitionMapRevision())
                        .put(StoreKeys.PARTITION_MAP, lent)
                        .build(),
                joinedAs);
    }

    private void writeClaims() {
        PartitionMap map = replica.partitionMap();
        claims.removeIf(m -> self.equals(Partitioner.ownerOf(map, m))
                || replica.decommissionsByMachine().containsKey(m));
        if (!claims.isEmpty() && context.nowMs() - claimedAt > CLAIM_MS) {
            claimedAt = context.nowMs();
            context.info("taking over machines that cannot reach their controller: " + claims);
            Map<String, String> claimed = new HashMap<>();
            claims.stream().limit(PartitionMapBuilder.MAX_REASSIGNED_MACHINES).forEach(m -> claimed.put(m, self));
            claims.removeAll(claimed.keySet());
            write(
                    new Transaction.Builder()
                            .require(StoreKeys.PARTITION_MAP, replica.partitionMapRevision())
                            .put(StoreKeys.PARTITION_MAP, maps.next(map.epoch() + 1, map.members(), claimed))
                            .build(),
                    joinedAs);
        }
    }

    private void write(Transaction transaction, long incarnation) {
        writing = true;
        transactions.submit(TransactionPriority.MEMBERSHIP, transaction, (status, revision) -> {
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
