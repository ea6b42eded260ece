package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.Input;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Presence;
import dewlane.core.schema.StoredValue.QuotaTransfer;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.ValueSizer;
import dewlane.core.store.StoreConnectivity;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * This controller's place among the members of the partition map: joins, evicts members whose lease has expired, and
 * has machines and quota reassigned.
 *
 * <p>Every change of the map has a higher epoch, and so has every start of a controller: a controller that restarts
 * before its old lease expires takes its old place again, so no machine changes hands, but under an epoch whose fencing
 * tokens it has never used.
 */
public final class Membership {
    /** After a silence of its lease and so much more, the others have evicted this controller. */
    private static final long ISOLATION_MARGIN_MS = 2000;
    /** A newer map that a peer has shown should have come by the watch within so long. */
    private static final long WATCH_DELAY_MS = 1000;

    /** The incarnation of a controller that has not joined. */
    private static final long NOT_JOINED = 0;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final StoreConnectivity store;
    private final PeerTable peers;
    private final MemberLease lease;
    private final ExpiredMembers missingMembers;
    private final MachineClaims claims;
    private final ControllerSchemaVersions schemaVersions;
    private final PartitionMapBuilder maps;
    private final PartitionMapWriter writer;
    private final String self;
    /** Transfers for the next map: what another controller gets, and the opposite for this one. */
    private final List<QuotaTransfer> pendingTransfers = new ArrayList<>();

    private long incarnation = NOT_JOINED;
    /** Since when peers have shown a newer map; 0 if none has. */
    private long newerMapSinceMs;

    /** A controller that has not joined; the sizer keeps the maps that it writes within the size of a value. */
    public Membership(
            ControllerContext context,
            StoreReplica replica,
            StoreConnectivity store,
            PeerTable peers,
            TransactionQueue transactions,
            ValueSizer sizer) {
        this.context = context;
        this.replica = replica;
        this.store = store;
        this.peers = peers;
        this.self = context.settings().controllerName();
        this.lease = new MemberLease(context);
        this.missingMembers = new ExpiredMembers(context, replica);
        this.claims = new MachineClaims(context, replica);
        this.schemaVersions = new ControllerSchemaVersions(context, replica);
        this.maps = new PartitionMapBuilder(context, replica, schemaVersions, sizer);
        this.writer = new PartitionMapWriter(replica, transactions);
    }

    /** True if the store has answered lately. */
    public boolean isStoreReachable() {
        return store.isReachable();
    }

    /** True while the partition map holds this start of this controller. */
    public boolean isMember() {
        PartitionMap map = replica.partitionMap();
        return map != null && incarnation != NOT_JOINED && map.incarnation(self) == incarnation;
    }

    /** True if this controller is the leader, which alone scales out and deletes instances. */
    public boolean isLeader() {
        return isMember() && self.equals(Partitioner.leaderOf(replica.partitionMap()));
    }

    /** The epoch at which this controller last joined; 0 if it has not. */
    public long incarnation() {
        return incarnation;
    }

    /**
     * True if this controller has reached neither the store nor another controller for so long that its lease must have
     * expired. The others have taken over its partition then, and its workers had better go to them; in an outage for
     * all the others are heard, and the workers are kept.
     */
    boolean isIsolated() {
        long ms = context.settings().tuning().memberLeaseTtlMs() + ISOLATION_MARGIN_MS;
        return store.timeSinceLastContactMs() > ms && peers.receivedNoStatusWithin(ms);
    }

    /** True if a peer has shown a newer map for longer than the watch should take, so that this one is out of date. */
    boolean isSuperseded() {
        return newerMapSinceMs != 0 && context.nowMs() - newerMapSinceMs > WATCH_DELAY_MS;
    }

    /** A peer has shown the epoch of its partition map. */
    public void onPeerEpoch(long epoch) {
        if (replica.partitionMap() == null || epoch <= replica.partitionMap().epoch()) {
            newerMapSinceMs = 0;
        } else if (newerMapSinceMs == 0) {
            newerMapSinceMs = context.nowMs();
        }
    }

    /**
     * True if every controller of the deployment has shown that it knows the present form of stored values. One that is
     * down counts as older until it has: it may come back as it was.
     */
    public boolean allControllersUpgraded() {
        return schemaVersions.allAreCurrent();
    }

    /** The store granted a lease. */
    public void onLeaseGranted(Input.LeaseGranted granted) {
        lease.onGranted(granted.lease());
    }

    /** The store granted no lease. */
    public void onLeaseGrantFailed() {
        lease.onGrantFailed();
    }

    /** The store answered a lease renewal, or did not. */
    public void onLeaseRenewal(Input.LeaseRenewalCompleted renewal) {
        if (lease.onRenewal(renewal)) {
            context.info("lease expired, joining again");
            incarnation = NOT_JOINED;
        }
    }

    /** Has a machine that cannot reach its owner reassigned to this controller, as soon as a map can be written. */
    public void claimMachine(String machine) {
        claims.add(machine);
    }

    /**
     * Transfers some of this controller's share of a team's quota to another one, as soon as a map can be written.
     *
     * @param to the controller that gets it
     */
    public void transferQuota(String team, String to, double cpus, double gpus) {
        pendingTransfers.add(new QuotaTransfer(team, to, cpus, gpus));
        pendingTransfers.add(new QuotaTransfer(team, self, -cpus, -gpus));
    }

    /**
     * Keeps the lease, and writes the next partition map if there is cause.
     *
     * @param caughtUp true if the replica is complete, so that a map may be built on it
     */
    public void tick(boolean caughtUp) {
        lease.tick();
        if (!caughtUp || !lease.isHeld() || !writer.isReady()) {
            return;
        }
        if (!isMember()) {
            join();
            return;
        }
        evictMissing();
        if (writer.isReady()) {
            writeClaims();
        }
        if (writer.isReady()) {
            writeQuotaTransfers();
        }
    }

    private void join() {
        List<Member> members = new ArrayList<>();
        if (replica.partitionMap() != null) {
            members.addAll(replica.partitionMap().members());
            members.removeIf(member -> member.name().equals(self));
        }
        long epoch = maps.nextEpoch();
        members.add(new Member(self, epoch));
        PartitionMap map = maps.withMembers(members, Map.of());
        writer.writeJoin(map, self, new Presence(epoch), lease.id(), onWritten(epoch));
    }

    private void evictMissing() {
        List<Member> evicted = missingMembers.dueForEviction();
        if (evicted.isEmpty()) {
            return;
        }
        for (Member member : evicted) {
            context.info("controller " + member.name() + " let its lease expire, evicting it from the partition map");
        }
        missingMembers.reset();
        List<Member> remaining = new ArrayList<>(replica.partitionMap().members());
        remaining.removeAll(evicted);
        writer.writeEviction(maps.withMembers(remaining, Map.of()), evicted, onWritten(incarnation));
    }

    private void writeClaims() {
        Map<String, String> due = claims.takeDue();
        if (!due.isEmpty()) {
            writer.write(maps.withMembers(replica.partitionMap().members(), due), onWritten(incarnation));
        }
    }

    private void writeQuotaTransfers() {
        if (pendingTransfers.isEmpty()) {
            return;
        }
        // A controller that has left in the meantime would take its transfer with it.
        boolean allPresent = pendingTransfers.stream()
                .allMatch(transfer -> replica.partitionMap().hasMember(transfer.controller()));
        PartitionMap map = maps.withQuotaTransfers(allPresent ? pendingTransfers : List.of());
        pendingTransfers.clear();
        writer.write(map, onWritten(incarnation));
    }

    /** What follows from a write by which this controller is a member since the given epoch. */
    private Consumer<Transaction.Status> onWritten(long joinedAtEpoch) {
        return status -> {
            if (status == Transaction.Status.COMMITTED) {
                incarnation = joinedAtEpoch;
            } else if (status == Transaction.Status.INVALID) {
                // The lease has expired while the write was in flight.
                lease.drop();
            }
        };
    }
}
