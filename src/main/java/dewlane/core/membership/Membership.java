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
 * Manages this controller's membership in the partition map: joins it, evicts members whose lease has expired, and
 * writes reassignments of machines and transfers of quota.
 *
 * <p>Each change of the map has a higher epoch, and each start of a controller is such a change. A controller that
 * restarts before its old lease expires therefore keeps its partition, so that no machine changes owners, but joins
 * with a new epoch whose fencing tokens it has never used.
 */
public final class Membership {
    /**
     * Without contact for the lifetime of its lease and this margin, this controller must have been evicted by the
     * others.
     */
    private static final long ISOLATION_MARGIN_MS = 2000;
    /** The watch should deliver a map that a peer already has within this time. */
    private static final long WATCH_DELAY_MS = 1000;

    /** The incarnation of a controller that has not joined. */
    private static final long NOT_JOINED = 0;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final StoreConnectivity connectivity;
    private final PeerTable peers;
    private final MemberLease lease;
    private final ExpiredMembers expiredMembers;
    private final MachineClaims claims;
    private final ControllerSchemaVersions schemaVersions;
    private final PartitionMapBuilder mapBuilder;
    private final PartitionMapWriter mapWriter;
    private final String self;
    /** Transfers to be written: for each, what another controller gains and what this one loses. */
    private final List<QuotaTransfer> pendingTransfers = new ArrayList<>();

    private long incarnation = NOT_JOINED;
    /** Monotonic time since which statuses of peers have named a newer map; 0 if the latest status did not. */
    private long newerMapSinceMs;

    /**
     * Creates the membership of a controller that has not joined. The sizer is used to keep partition maps within the
     * size limit of a value.
     */
    public Membership(
            ControllerContext context,
            StoreReplica replica,
            StoreConnectivity connectivity,
            PeerTable peers,
            TransactionQueue transactions,
            ValueSizer sizer) {
        this.context = context;
        this.replica = replica;
        this.connectivity = connectivity;
        this.peers = peers;
        this.self = context.settings().controllerName();
        this.lease = new MemberLease(context);
        this.expiredMembers = new ExpiredMembers(context, replica);
        this.claims = new MachineClaims(context, replica);
        this.schemaVersions = new ControllerSchemaVersions(context, replica);
        this.mapBuilder = new PartitionMapBuilder(context, replica, schemaVersions, sizer);
        this.mapWriter = new PartitionMapWriter(replica, transactions);
    }

    /** Returns true if the store has answered within the last two seconds. */
    public boolean isStoreReachable() {
        return connectivity.isReachable();
    }

    /** Returns true if this controller has joined the partition map since it started, and has not been evicted. */
    public boolean isMember() {
        PartitionMap map = replica.partitionMap();
        return map != null && incarnation != NOT_JOINED && map.incarnation(self) == incarnation;
    }

    /** Returns true if this controller is the leader; only the leader scales out and processes decommission records. */
    public boolean isLeader() {
        return isMember() && self.equals(Partitioner.leaderOf(replica.partitionMap()));
    }

    /** Returns the epoch at which this controller joined; 0 if it has not joined or its lease has expired. */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns true if this controller has reached neither the store nor another controller for long enough that its
     * lease must have expired. The others have then taken over its partition, and its workers should switch to them. If
     * the store is unreachable for all controllers, the statuses of the others still arrive, and this controller keeps
     * its workers.
     */
    boolean isIsolated() {
        long timeoutMs = context.settings().tuning().memberLeaseTtlMs() + ISOLATION_MARGIN_MS;
        return connectivity.timeSinceLastContactMs() > timeoutMs && peers.receivedNoStatusWithin(timeoutMs);
    }

    /** Returns true if peers have named a newer map for longer than the watch should take to deliver it. */
    boolean isSuperseded() {
        return newerMapSinceMs != 0 && context.nowMs() - newerMapSinceMs > WATCH_DELAY_MS;
    }

    /** Called when a peer's status has been received, with the epoch of the peer's partition map. */
    public void onPeerEpoch(long epoch) {
        if (replica.partitionMap() == null || epoch <= replica.partitionMap().epoch()) {
            newerMapSinceMs = 0;
        } else if (newerMapSinceMs == 0) {
            newerMapSinceMs = context.nowMs();
        }
    }

    /**
     * Returns true if every controller of the deployment has published that it supports the current schema version. A
     * stopped controller that has not published it counts as older, as it may restart without having been upgraded.
     */
    public boolean allControllersUpgraded() {
        return schemaVersions.allAreCurrent();
    }

    /** Called when the store has granted a lease. */
    public void onLeaseGranted(Input.LeaseGranted granted) {
        lease.onGranted(granted.lease());
    }

    /** Called when a request for a lease has failed. */
    public void onLeaseGrantFailed() {
        lease.onGrantFailed();
    }

    /** Called when a lease renewal has been answered or has failed. */
    public void onLeaseRenewal(Input.LeaseRenewalCompleted renewal) {
        if (lease.onRenewal(renewal)) {
            context.info("lease expired, joining again");
            incarnation = NOT_JOINED;
        }
    }

    /** Claims a machine that cannot reach its owner: it is reassigned to this controller with one of the next maps. */
    public void claimMachine(String machine) {
        claims.add(machine);
    }

    /**
     * Transfers part of this controller's share of a team's quota to another controller, with the next map.
     *
     * @param to the controller that receives it
     */
    public void transferQuota(String team, String to, double cpus, double gpus) {
        pendingTransfers.add(new QuotaTransfer(team, to, cpus, gpus));
        pendingTransfers.add(new QuotaTransfer(team, self, -cpus, -gpus));
    }

    /**
     * Requests or renews the lease, and writes the next partition map if a change is needed.
     *
     * @param caughtUp true if the replica is consistent, so that the next map may be built from it
     */
    public void tick(boolean caughtUp) {
        lease.tick();
        if (!caughtUp || !lease.isHeld() || !mapWriter.isReady()) {
            return;
        }
        if (!isMember()) {
            join();
            return;
        }
        evictExpired();
        if (mapWriter.isReady()) {
            writeClaims();
        }
        if (mapWriter.isReady()) {
            writeQuotaTransfers();
        }
    }

    private void join() {
        List<Member> members = new ArrayList<>();
        if (replica.partitionMap() != null) {
            members.addAll(replica.partitionMap().members());
            members.removeIf(member -> member.name().equals(self));
        }
        long epoch = mapBuilder.nextEpoch();
        members.add(new Member(self, epoch));
        PartitionMap map = mapBuilder.withMembers(members, Map.of());
        mapWriter.writeJoin(map, self, new Presence(epoch), lease.id(), onWritten(epoch));
    }

    private void evictExpired() {
        List<Member> evicted = expiredMembers.dueForEviction();
        if (evicted.isEmpty()) {
            return;
        }
        for (Member member : evicted) {
            context.info("controller " + member.name() + " let its lease expire, evicting it from the partition map");
        }
        expiredMembers.reset();
        List<Member> remaining = new ArrayList<>(replica.partitionMap().members());
        remaining.removeAll(evicted);
        mapWriter.writeEviction(mapBuilder.withMembers(remaining, Map.of()), evicted, onWritten(incarnation));
    }

    private void writeClaims() {
        Map<String, String> due = claims.takeDue();
        if (!due.isEmpty()) {
            mapWriter.write(mapBuilder.withMembers(replica.partitionMap().members(), due), onWritten(incarnation));
        }
    }

    private void writeQuotaTransfers() {
        if (pendingTransfers.isEmpty()) {
            return;
        }
        // Quota that is transferred to a controller that has left would be lost with it, so the transfers are dropped.
        boolean allAreMembers = pendingTransfers.stream()
                .allMatch(transfer -> replica.partitionMap().hasMember(transfer.controller()));
        PartitionMap map = mapBuilder.withQuotaTransfers(allAreMembers ? pendingTransfers : List.of());
        pendingTransfers.clear();
        mapWriter.write(map, onWritten(incarnation));
    }

    /**
     * Returns the action on the outcome of a write of a map. If it is committed, this controller is a member that
     * joined at the given epoch.
     */
    private Consumer<Transaction.Status> onWritten(long joinedAtEpoch) {
        return status -> {
            if (status == Transaction.Status.COMMITTED) {
                incarnation = joinedAtEpoch;
            } else if (status == Transaction.Status.INVALID) {
                // The lease expired while the write was in flight.
                lease.onExpired();
            }
        };
    }
}
