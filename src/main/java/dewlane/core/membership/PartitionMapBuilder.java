package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.SchemaVersion;
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

/** Makes the map that follows the present one, no larger than a value may be. */
final class PartitionMapBuilder {
    /** A machine that is dropped from those moved falls back to its part by hash; the map's value stays small. */
    static final int MAX_REASSIGNED_MACHINES = 200;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final ValueSizer size;

    PartitionMapBuilder(ControllerContext context, StoreReplica replica, ValueSizer size) {
        this.context = context;
        this.replica = replica;
        this.size = size;
    }

    /** A map with the given members, and further machines that are moved. */
    PartitionMap next(long epoch, List<Member> members, Map<String, String> claimed) {
        Map<String, String> moved = new HashMap<>(claimed);
        if (replica.partitionMap() != null) {
            replica.partitionMap().reassignedMachines().forEach((machine, taker) -> {
                boolean there =
                        members.stream().anyMatch(member -> member.name().equals(taker));
                if (there
                        && !replica.decommissionsByMachine().containsKey(machine)
                        && moved.size() < MAX_REASSIGNED_MACHINES) {
                    moved.putIfAbsent(machine, taker);
                }
            });
        }
        // Shares are of as many controllers as there are.
        boolean same = replica.partitionMap() != null
                && members.equals(replica.partitionMap().members());
        return shrunk(new PartitionMap(
                epoch,
                List.copyOf(members),
                Map.copyOf(moved),
                same ? replica.partitionMap().quotaTransfers() : List.of(),
                formats(),
                replica.partitionMap() == null
                        ? UnknownFields.NONE
                        : replica.partitionMap().unknown()));
    }

    /** What the controllers have shown to know; of those that are not there, what the present map says of them. */
    private Map<String, Integer> formats() {
        Map<String, Integer> formats = new HashMap<>(
                replica.partitionMap() == null
                        ? Map.of()
                        : replica.partitionMap().schemaVersions());
        replica.presences().forEach((name, presence) -> formats.put(name, presence.schemaVersion()));
        formats.put(context.settings().controllerName(), SchemaVersion.CURRENT);
        formats.values().removeIf(format -> format <= SchemaVersion.FIRST);
        return Map.copyOf(formats);
    }

    /** The present map with further loans of shares. */
    PartitionMap withQuotaTransfers(List<QuotaTransfer> lending) {
        PartitionMap map = replica.partitionMap();
        List<QuotaTransfer> loans = new ArrayList<>(map.quotaTransfers());
        for (QuotaTransfer transfer : lending) {
            QuotaTransfer had = loans.stream()
                    .filter(o ->
                            o.team().equals(transfer.team()) && o.controller().equals(transfer.controller()))
                    .findFirst()
                    .orElse(null);
            loans.remove(had);
            loans.add(
                    had == null
                            ? transfer
                            : new QuotaTransfer(
                                    transfer.team(),
                                    transfer.controller(),
                                    had.cpus() + transfer.cpus(),
                                    had.gpus() + transfer.gpus()));
        }
        PartitionMap lent = new PartitionMap(
                map.epoch() + 1, map.members(), map.reassignedMachines(), List.copyOf(loans), formats(), map.unknown());
        if (fits(lent)) {
            return lent;
        }
        // Equal shares take no room: whoever needs more borrows anew.
        context.info("the map has no room for another loan, shares of teams' limits are equal again");
        return shrunk(new PartitionMap(
                lent.epoch(),
                lent.members(),
                lent.reassignedMachines(),
                List.of(),
                lent.schemaVersions(),
                lent.unknown()));
    }

    private boolean fits(PartitionMap map) {
        return size.bytes(map) <= context.settings().maxValueBytes();
    }

    /**
     * The map with as many moved machines as its value has room for. A machine that is dropped falls back to its part
     * by hash, and is moved again if it still cannot reach that; loans go before the last of them.
     */
    private PartitionMap shrunk(PartitionMap map) {
        PartitionMap fitting = map;
        while (!fits(fitting)
                && !(fitting.reassignedMachines().isEmpty()
                        && fitting.quotaTransfers().isEmpty())) {
            Map<String, String> half = new HashMap<>();
            fitting.reassignedMachines().entrySet().stream()
                    .limit(fitting.reassignedMachines().size() / 2)
                    .forEach(e -> half.put(e.getKey(), e.getValue()));
            fitting = new PartitionMap(
                    map.epoch(),
                    map.members(),
                    Map.copyOf(half),
                    half.isEmpty() ? List.of() : fitting.quotaTransfers(),
                    map.schemaVersions(),
                    map.unknown());
        }
        return fitting;
    }
}
