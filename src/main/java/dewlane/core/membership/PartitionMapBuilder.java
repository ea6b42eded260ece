package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.QuotaTransfer;
import dewlane.core.schema.UnknownFields;
import dewlane.core.schema.ValueSizer;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Builds the partition map that follows the present one, no larger than a value may be. */
final class PartitionMapBuilder {
    /** A machine that is dropped from those reassigned falls back to its partition by hash; the map stays small. */
    static final int MAX_REASSIGNED_MACHINES = 200;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final ControllerSchemaVersions schemaVersions;
    private final ValueSizer sizer;

    PartitionMapBuilder(
            ControllerContext context,
            StoreReplica replica,
            ControllerSchemaVersions schemaVersions,
            ValueSizer sizer) {
        this.context = context;
        this.replica = replica;
        this.schemaVersions = schemaVersions;
        this.sizer = sizer;
    }

    /**
     * The next map with the given members.
     *
     * @param claimed machines to be reassigned, in addition to those that are, and their new owners
     */
    PartitionMap withMembers(List<Member> members, Map<String, String> claimed) {
        PartitionMap present = replica.partitionMap();
        // Quota is shared among as many controllers as there are, so transfers hold only for the same members.
        boolean keepsTransfers = present != null && members.equals(present.members());
        return shrinkToFit(new PartitionMap(
                nextEpoch(),
                List.copyOf(members),
                reassignedMachines(members, claimed),
                keepsTransfers ? present.quotaTransfers() : List.of(),
                schemaVersions.forNextMap(),
                present == null ? UnknownFields.NONE : present.unknown()));
    }

    /** The next map with the same members and further transfers of quota. */
    PartitionMap withQuotaTransfers(List<QuotaTransfer> further) {
        PartitionMap present = replica.partitionMap();
        PartitionMap next = new PartitionMap(
                nextEpoch(),
                present.members(),
                present.reassignedMachines(),
                combined(present.quotaTransfers(), further),
                schemaVersions.forNextMap(),
                present.unknown());
        if (fits(next)) {
            return next;
        }
        // Without transfers, shares are equal: whoever needs more gets it transferred anew.
        context.info("the partition map has no room for another quota transfer, quota shares are equal again");
        return shrinkToFit(next.withQuotaTransfers(List.of()));
    }

    /** The epoch of the next map; the first one has epoch 1. */
    long nextEpoch() {
        return replica.partitionMap() == null ? 1 : replica.partitionMap().epoch() + 1;
    }

    /** The claimed machines, and those of the present map whose owner remains a member. */
    private Map<String, String> reassignedMachines(List<Member> members, Map<String, String> claimed) {
        Map<String, String> reassigned = new HashMap<>(claimed);
        if (replica.partitionMap() != null) {
            replica.partitionMap().reassignedMachines().forEach((machine, owner) -> {
                boolean remains =
                        members.stream().anyMatch(member -> member.name().equals(owner));
                if (remains && !replica.isDecommissioned(machine) && reassigned.size() < MAX_REASSIGNED_MACHINES) {
                    reassigned.putIfAbsent(machine, owner);
                }
            });
        }
        return Map.copyOf(reassigned);
    }

    /** Transfers of the same team and controller add up. */
    private static List<QuotaTransfer> combined(List<QuotaTransfer> present, List<QuotaTransfer> further) {
        List<QuotaTransfer> sums = new ArrayList<>(present);
        for (QuotaTransfer transfer : further) {
            QuotaTransfer sum = transfer;
            for (QuotaTransfer earlier : sums) {
                if (earlier.isForSameShareAs(transfer)) {
                    sum = earlier.plus(transfer);
                    sums.remove(earlier);
                    break;
                }
            }
            sums.add(sum);
        }
        return List.copyOf(sums);
    }

    private boolean fits(PartitionMap map) {
        return sizer.bytes(map) <= context.settings().maxValueBytes();
    }

    /**
     * The map with as many reassigned machines as its value has room for. A machine that is dropped falls back to its
     * partition by hash, and is claimed again if it still cannot reach that owner; quota transfers are dropped before
     * the last of the machines.
     */
    private PartitionMap shrinkToFit(PartitionMap map) {
        PartitionMap fitting = map;
        while (!fits(fitting)
                && !(fitting.reassignedMachines().isEmpty()
                        && fitting.quotaTransfers().isEmpty())) {
            Map<String, String> half = firstHalf(fitting.reassignedMachines());
            fitting = fitting.withReassignedMachines(half);
            if (half.isEmpty()) {
                fitting = fitting.withQuotaTransfers(List.of());
            }
        }
        return fitting;
    }

    private static Map<String, String> firstHalf(Map<String, String> machines) {
        Map<String, String> half = new HashMap<>();
        machines.entrySet().stream()
                .limit(machines.size() / 2)
                .forEach(entry -> half.put(entry.getKey(), entry.getValue()));
        return Map.copyOf(half);
    }
}
