package dewlane.core.schema;

import dewlane.core.schema.StoredValue.Member;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Slice;
import it.unimi.dsi.fastutil.HashCommon;

/**
 * Divides machines and keys into partitions, one per member of the partition map, by rendezvous hash: a member that
 * leaves or joins moves only its own machines.
 */
public final class Partitioner {
    private Partitioner() {}

    /** The controller whose partition a machine or a key belongs to, or null without a map. */
    public static String ownerOf(PartitionMap map, String name) {
        if (map == null) {
            return null;
        }
        String reassignedTo = map.reassignedMachines().get(name);
        if (reassignedTo != null && map.hasMember(reassignedTo)) {
            return reassignedTo;
        }
        String owner = null;
        long ownerWeight = 0;
        for (Member member : map.members()) {
            long weight = weight(name, member.name());
            if (owner == null || weight > ownerWeight) {
                owner = member.name();
                ownerWeight = weight;
            }
        }
        return owner;
    }

    private static long weight(String name, String controller) {
        return HashCommon.murmurHash3(((long) name.hashCode() << 32) ^ HashCommon.mix(controller.hashCode()));
    }

    /** The controller that may launch a slice's tasks: the slice's owner, or whose partition its key is in. */
    public static String ownerOf(PartitionMap map, String sliceKey, Slice slice) {
        return map != null && map.hasMember(slice.owner()) ? slice.owner() : ownerOf(map, sliceKey);
    }

    /** The controller that has been a member for longest, or null without a map. */
    public static String leaderOf(PartitionMap map) {
        if (map == null) {
            return null;
        }
        Member oldest = null;
        for (Member member : map.members()) {
            if (oldest == null || member.incarnation() < oldest.incarnation()) {
                oldest = member;
            }
        }
        return oldest == null ? null : oldest.name();
    }
}
