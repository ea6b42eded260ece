package dewlane.core.membership;

import dewlane.core.message.Context;
import dewlane.core.schema.StoredFormat;
import dewlane.core.schema.UnknownFields;
import dewlane.core.schema.Value.ClusterMap;
import dewlane.core.schema.Value.Loan;
import dewlane.core.schema.Value.Member;
import dewlane.core.schema.ValueSize;
import dewlane.core.store.Replica;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Makes the map that follows the present one, no larger than a value may be. */
final class MapBuilder {
    /** A machine that is dropped from those moved falls back to its part by hash; the map's value stays small. */
    static final int MOST_MOVED = 200;

    private final Context context;
    private final Replica replica;
    private final ValueSize size;

    MapBuilder(Context context, Replica replica, ValueSize size) {
        this.context = context;
        this.replica = replica;
        this.size = size;
    }

    /** A map with the given members, and further machines that are moved. */
    ClusterMap next(long epoch, List<Member> members, Map<String, String> claimed) {
        Map<String, String> moved = new HashMap<>(claimed);
        if (replica.map() != null) {
            replica.map().moved().forEach((machine, taker) -> {
                boolean there = members.stream().anyMatch(m -> m.name().equals(taker));
                if (there && !replica.machines().containsKey(machine) && moved.size() < MOST_MOVED) {
                    moved.putIfAbsent(machine, taker);
                }
            });
        }
        // Shares are of as many controllers as there are.
        boolean same = replica.map() != null && members.equals(replica.map().members());
        return shrunk(new ClusterMap(
                epoch,
                List.copyOf(members),
                Map.copyOf(moved),
                same ? replica.map().loans() : List.of(),
                formats(),
                replica.map() == null ? UnknownFields.NONE : replica.map().unknown()));
    }

    /** What the controllers have shown to know; of those that are not there, what the present map says of them. */
    private Map<String, Integer> formats() {
        Map<String, Integer> formats =
                new HashMap<>(replica.map() == null ? Map.of() : replica.map().formats());
        replica.presences().forEach((name, presence) -> formats.put(name, presence.format()));
        formats.put(context.settings().node(), StoredFormat.CURRENT);
        formats.values().removeIf(format -> format <= StoredFormat.FIRST);
        return Map.copyOf(formats);
    }

    /** The present map with further loans of shares. */
    ClusterMap lent(List<Loan> lending) {
        ClusterMap map = replica.map();
        List<Loan> loans = new ArrayList<>(map.loans());
        for (Loan l : lending) {
            Loan had = loans.stream()
                    .filter(o -> o.team().equals(l.team()) && o.node().equals(l.node()))
                    .findFirst()
                    .orElse(null);
            loans.remove(had);
            loans.add(had == null ? l : new Loan(l.team(), l.node(), had.cpus() + l.cpus(), had.gpus() + l.gpus()));
        }
        ClusterMap lent = new ClusterMap(
                map.epoch() + 1, map.members(), map.moved(), List.copyOf(loans), formats(), map.unknown());
        if (fits(lent)) {
            return lent;
        }
        // Equal shares take no room: whoever needs more borrows anew.
        context.info("the map has no room for another loan, shares of teams' limits are equal again");
        return shrunk(
                new ClusterMap(lent.epoch(), lent.members(), lent.moved(), List.of(), lent.formats(), lent.unknown()));
    }

    private boolean fits(ClusterMap map) {
        return size.bytes(map) <= context.settings().valueBytes();
    }

    /**
     * The map with as many moved machines as its value has room for. A machine that is dropped falls back to its part
     * by hash, and is moved again if it still cannot reach that; loans go before the last of them.
     */
    private ClusterMap shrunk(ClusterMap map) {
        ClusterMap fitting = map;
        while (!fits(fitting) && !(fitting.moved().isEmpty() && fitting.loans().isEmpty())) {
            Map<String, String> half = new HashMap<>();
            fitting.moved().entrySet().stream()
                    .limit(fitting.moved().size() / 2)
                    .forEach(e -> half.put(e.getKey(), e.getValue()));
            fitting = new ClusterMap(
                    map.epoch(),
                    map.members(),
                    Map.copyOf(half),
                    half.isEmpty() ? List.of() : fitting.loans(),
                    map.formats(),
                    map.unknown());
        }
        return fitting;
    }
}
