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

/** Builds the partition map that replaces the current one, within the size limit of a value. */
final class PartitionMapBuilder {
    /**
     * Limits the size of the map. A machine whose reassignment is dropped belongs again to the owner that
     * {@link dewlane.core.schema.Partitioner} computes.
     */
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
     * Returns the next map, with the given members.
     *
     * @param claimed additional machines to be reassigned, with their new owners
     */
    PartitionMap withMembers(List<Member> members, Map<String, String> claimed) {
        PartitionMap current = replica.partitionMap();
        // Equal shares depend on the number of members, so transfers are valid only while the members stay the same.
        boolean keepsTransfers = current != null && members.equals(current.members());
        return shrinkToFit(new PartitionMap(
                nextEpoch(),
                List.copyOf(members),
                reassignedMachines(members, claimed),
                keepsTransfers ? current.quotaTransfers() : List.of(),
                schemaVersions.forNextMap(),
                current == null ? UnknownFields.NONE : current.unknown()));
    }

    /** Returns the next map, with the same members and additional transfers of quota. */
    PartitionMap withQuotaTransfers(List<QuotaTransfer> additional) {
        PartitionMap current = replica.partitionMap();
        PartitionMap next = new PartitionMap(
                nextEpoch(),
                current.members(),
                current.reassignedMachines(),
                merged(current.quotaTransfers(), additional),
                schemaVersions.forNextMap(),
                current.unknown());
        if (fits(next)) {
            return next;
        }
        // Without transfers, shares are equal. A controller that needs more requests another transfer.
        context.info("the partition map has no room for another quota transfer, quota shares are equal again");
        return shrinkToFit(next.withQuotaTransfers(List.of()));
    }

    /** Returns the epoch of the next map; the first map has epoch 1. */
    long nextEpoch() {
        return replica.partitionMap() == null ? 1 : replica.partitionMap().epoch() + 1;
    }

    /** Returns the claimed machines, and the reassigned ones of the current map whose owner remains a member. */
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

    /** Returns all transfers, with those of the same team and controller added up. */
    private static List<QuotaTransfer> merged(List<QuotaTransfer> current, List<QuotaTransfer> additional) {
        List<QuotaTransfer> sums = new ArrayList<>(current);
        for (QuotaTransfer transfer : additional) {
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
     * Returns the map, reduced to the size limit of a value. Half of the reassigned machines are dropped at a time
     * until the map fits; the quota transfers are dropped together with the last of the machines. A dropped machine
     * belongs again to the owner that {@link dewlane.core.schema.Partitioner} computes, and is claimed again if it
     * still cannot reach that owner.
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
