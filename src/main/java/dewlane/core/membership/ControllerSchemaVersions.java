package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.SchemaVersion;
import dewlane.core.schema.StoredValue.Presence;
import dewlane.core.store.StoreReplica;
import java.util.HashMap;
import java.util.Map;

/**
 * The newest form of stored values that each controller has shown to know, by its presence while it is up. What those
 * that are down have shown is in the partition map, from which an older version drops it as it joins.
 */
final class ControllerSchemaVersions {
    private final ControllerContext context;
    private final StoreReplica replica;

    ControllerSchemaVersions(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /**
     * True if every controller of the deployment has shown that it knows the present form of stored values. One that is
     * down counts as older until it has: it may come back as it was.
     */
    boolean allAreCurrent() {
        return replica.partitionMap() != null
                && context.settings().peers().stream().allMatch(this::isCurrent);
    }

    private boolean isCurrent(String controller) {
        Presence presence = replica.presences().get(controller);
        int version = presence != null
                ? presence.schemaVersion()
                : storedInMap().getOrDefault(controller, SchemaVersion.FIRST);
        return version >= SchemaVersion.CURRENT;
    }

    /** What the next partition map is to hold; controllers of the first version are left out. */
    Map<String, Integer> forNextMap() {
        Map<String, Integer> versions = new HashMap<>(storedInMap());
        replica.presences().forEach((controller, presence) -> versions.put(controller, presence.schemaVersion()));
        versions.put(context.settings().controllerName(), SchemaVersion.CURRENT);
        versions.values().removeIf(version -> version <= SchemaVersion.FIRST);
        return Map.copyOf(versions);
    }

    private Map<String, Integer> storedInMap() {
        return replica.partitionMap() == null
                ? Map.of()
                : replica.partitionMap().schemaVersions();
    }
}
