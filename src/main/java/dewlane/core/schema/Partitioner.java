package dewlane.core.schema;

import dewlane.core.schema.StoredValue.Member;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Slice;
import it.unimi.dsi.fastutil.HashCommon;

/**
 * Divides machines into parts, one per controller of the map, by rendezvous hash: a controller that leaves or joins
 * moves only its own machines.
 */
public final class Partitioner {
    private Partitioner() {}

    /** The controller whose part a machine or a key belongs to, or null without a map. */
    public static String ownerOf(PartitionMap map, String name) {
        if (map == null) {
            return null;
        }
        String taker = map.reassignedMachines().get(name);
        if (taker != null && map.hasMember(taker)) {
            return taker;
        }
        String best = null;
        long bestWeight = 0;
        for (Member member : map.members()) {
            long weight = HashCommon.murmurHash3(((long) name.hashCode() << 32)
                    ^ HashCommon.mix(member.name().hashCode()));
            if (best == null || weight > bestWeight) {
                best = member.name();
                bestWeight = weight;
            }
        }
        return best;
    }

    /** The controller that may launch a slice's tasks. */
    public static String ownerOf(PartitionMap map, String sliceKey, Slice slice) {
        return map != null && map.hasMember(slice.owner()) ? slice.owner() : ownerOf(map, sliceKey);
    }

    /** The controller that has been in the map for longest. */
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
