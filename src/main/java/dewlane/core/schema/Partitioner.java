package dewlane.core.schema;

import dewlane.core.schema.StoredValue.Member;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Slice;
import it.unimi.dsi.fastutil.HashCommon;

/**
 * Assigns each machine and each key to the partition of one member of the partition map, by rendezvous hashing. When a
 * member joins or leaves, only the machines and keys of its partition change owners.
 */
public final class Partitioner {
    private Partitioner() {}

    /** Returns the controller that owns a machine or a key, or null if there is no map. */
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

    /**
     * Returns the controller that may launch a slice's tasks: the slice's owner or, if that is not a member, the owner
     * of the slice's key.
     */
    public static String ownerOf(PartitionMap map, String sliceKey, Slice slice) {
        return map != null && map.hasMember(slice.owner()) ? slice.owner() : ownerOf(map, sliceKey);
    }

    /** Returns the member that joined first, or null if there is no map or no member. */
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
