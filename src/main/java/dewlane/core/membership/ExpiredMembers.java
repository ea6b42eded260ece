package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Members of the partition map whose lease has expired, and the time at which this controller evicts them. The live
 * members wait for different times, in the order of the map, so that usually only the first one writes the next map.
 */
final class ExpiredMembers {
    /** The difference between the waiting times of a live member and the live member before it. */
    private static final long EVICTION_STAGGER_MS = 300;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final String self;
    private final Map<String, Long> expiredSinceMs = new HashMap<>();

    ExpiredMembers(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
        this.self = context.settings().controllerName();
    }

    /** Returns the members that this controller should evict now. */
    List<Member> dueForEviction() {
        PartitionMap map = replica.partitionMap();
        long delayMs = EVICTION_STAGGER_MS * liveMembersBeforeSelf(map);
        List<Member> due = new ArrayList<>();
        for (Member member : map.members()) {
            if (isLive(member)) {
                expiredSinceMs.remove(member.name());
                continue;
            }
            long sinceMs = expiredSinceMs.computeIfAbsent(member.name(), absent -> context.nowMs());
            if (context.nowMs() - sinceMs >= delayMs) {
                due.add(member);
            }
        }
        return due;
    }

    /** Restarts the waiting times, as the map is about to change. */
    void reset() {
        expiredSinceMs.clear();
    }

    private boolean isLive(Member member) {
        return member.name().equals(self) || replica.presences().containsKey(member.name());
    }

    private int liveMembersBeforeSelf(PartitionMap map) {
        int count = 0;
        for (Member member : map.members()) {
            if (member.name().equals(self)) {
                break;
            }
            count += replica.presences().containsKey(member.name()) ? 1 : 0;
        }
        return count;
    }
}
