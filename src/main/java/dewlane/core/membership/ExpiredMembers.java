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
 * Members of the partition map whose lease has expired, and when it is this controller's turn to evict them. The live
 * members take turns in the order of the map, so that mostly one of them alone writes the next map.
 */
final class ExpiredMembers {
    /** How long each live member leaves to the one before it. */
    private static final long TURN_MS = 300;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final String self;
    private final Map<String, Long> missingSinceMs = new HashMap<>();

    ExpiredMembers(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
        this.self = context.settings().controllerName();
    }

    /** The members that this controller should evict now. */
    List<Member> dueForEviction() {
        PartitionMap map = replica.partitionMap();
        long turnMs = TURN_MS * liveMembersBeforeSelf(map);
        List<Member> due = new ArrayList<>();
        for (Member member : map.members()) {
            if (isLive(member)) {
                missingSinceMs.remove(member.name());
                continue;
            }
            long sinceMs = missingSinceMs.computeIfAbsent(member.name(), absent -> context.nowMs());
            if (context.nowMs() - sinceMs >= turnMs) {
                due.add(member);
            }
        }
        return due;
    }

    /** The turns begin anew, as the map is about to change. */
    void reset() {
        missingSinceMs.clear();
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
