package dewlane.core;

import dewlane.core.Value.ClusterMap;
import dewlane.core.Value.Member;
import dewlane.core.Value.Presence;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Keeps this controller's lease, its place in the map, and the map free of controllers whose lease ended.
 *
 * <p>Every change of the map has a higher epoch, and so has every start of a controller: a controller that restarts
 * within its old lease takes its old place again, so no machine changes hands, but under an epoch whose tokens it has
 * never used.
 */
public final class Membership {
    private final Context context;
    private final Replica replica;
    private final Journaller journaller;
    private final String self;
    private final Map<String, Long> missingSince = new HashMap<>();
    private long lease;
    private boolean leaseAsked;
    private long touchedAt;
    private boolean touching;
    private long askedAt;
    private boolean writing;
    private long writtenAt;
    private long joinedAs;
    private long contactAt;

    Membership(Context context, Replica replica, Journaller journaller) {
        this.context = context;
        this.replica = replica;
        this.journaller = journaller;
        this.self = context.settings().node();
    }

    void contact() {
        contactAt = context.now();
    }

    /** Milliseconds since the state service last answered. */
    long silence() {
        return context.now() - contactAt;
    }

    /** True while the map holds this start of this controller. */
    boolean joined() {
        ClusterMap map = replica.map();
        if (map == null || joinedAs == 0) {
            return false;
        }
        for (Member m : map.members()) {
            if (m.name().equals(self)) {
                return m.incarnation() == joinedAs;
            }
        }
        return false;
    }

    boolean leads() {
        return joined() && self.equals(Parts.leader(replica.map()));
    }

    void granted(long granted) {
        leaseAsked = false;
        if (granted != 0) {
            lease = granted;
            touchedAt = context.now();
        }
    }

    void touched(Input.LeaseTouched touched) {
        touching = false;
        if (touched.lease() == lease && touched.ended()) {
            context.info("lease ended, joining again");
            lease = 0;
            joinedAs = 0;
        }
    }

    void tick(boolean loaded) {
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
            context.emit(new Effect.TouchLease(lease));
        }
        if (loaded && lease != 0 && !writing && replica.revision() >= writtenAt) {
            if (!joined()) {
                join();
            } else {
                evictMissing();
            }
        }
    }

    private void join() {
        ClusterMap map = replica.map();
        long epoch = map == null ? 1 : map.epoch() + 1;
        List<Member> members = map == null ? new ArrayList<>()
                : map.members().stream().filter(m -> !m.name().equals(self)).collect(Collectors.toCollection(ArrayList::new));
        members.add(new Member(self, epoch));
        write(new Txn.Builder().when(Keys.MAP, replica.mapVersion())
                .set(Keys.MAP, new ClusterMap(epoch, List.copyOf(members)))
                .setLeased(Keys.presence(self), new Presence(epoch), lease).build(), epoch);
    }

    private void evictMissing() {
        ClusterMap map = replica.map();
        int rank = 0;
        for (Member m : map.members()) {
            if (m.name().equals(self)) {
                break;
            }
            rank += replica.presences().containsKey(m.name()) ? 1 : 0;
        }
        Txn.Builder txn = new Txn.Builder().when(Keys.MAP, replica.mapVersion());
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
                txn.when(Keys.presence(m.name()), 0);
                context.info("controller " + m.name() + " let its lease end, leaving it out of the map");
            } else {
                left.add(m);
            }
        }
        if (left.size() < map.members().size()) {
            missingSince.clear();
            write(txn.set(Keys.MAP, new ClusterMap(map.epoch() + 1, List.copyOf(left))).build(), joinedAs);
        }
    }

    private void write(Txn txn, long incarnation) {
        writing = true;
        journaller.submit(Journaller.Urgency.MEMBERSHIP, txn, (status, revision) -> {
            writing = false;
            writtenAt = revision;
            if (status == Txn.Status.COMMITTED) {
                joinedAs = incarnation;
            } else if (status == Txn.Status.INVALID) {
                // The lease ended while the write was under way.
                lease = 0;
            }
        });
    }
}
