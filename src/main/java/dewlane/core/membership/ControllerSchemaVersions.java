package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.SchemaVersion;
import dewlane.core.schema.StoredValue.Presence;
import dewlane.core.store.StoreReplica;
import java.util.HashMap;
import java.util.Map;

/**
 * The newest {@link SchemaVersion} that each controller has published. A running controller publishes it in its
 * presence. The versions of stopped ones are kept in the partition map; a controller of release 0.1 drops them from the
 * map when it joins.
 */
final class ControllerSchemaVersions {
    private final ControllerContext context;
    private final StoreReplica replica;

    ControllerSchemaVersions(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /**
     * Returns true if every controller of the deployment has published that it supports the current schema version. A
     * stopped controller that has not published it counts as older, as it may restart without having been upgraded.
     */
    boolean allAreCurrent() {
        return replica.partitionMap() != null
                && context.settings().peers().stream().allMatch(this::isCurrent);
    }

    private boolean isCurrent(String controller) {
        Presence presence = replica.presences().get(controller);
        int version = presence != null
                ? presence.schemaVersion()
                : versionsInMap().getOrDefault(controller, SchemaVersion.FIRST);
        return version >= SchemaVersion.CURRENT;
    }

    /** Returns the versions for the next partition map; controllers of the first version are left out. */
    Map<String, Integer> forNextMap() {
        Map<String, Integer> versions = new HashMap<>(versionsInMap());
        replica.presences().forEach((controller, presence) -> versions.put(controller, presence.schemaVersion()));
        versions.put(context.settings().controllerName(), SchemaVersion.CURRENT);
        versions.values().removeIf(version -> version <= SchemaVersion.FIRST);
        return Map.copyOf(versions);
    }

    private Map<String, Integer> versionsInMap() {
        return replica.partitionMap() == null
                ? Map.of()
                : replica.partitionMap().schemaVersions();
    }
}
