package dewlane.core.model;

import java.util.List;

/**
 * Which machines a job's tasks may run on.
 *
 * @param types names of the allowed machine types, empty for any
 * @param zone the only allowed zone, or null for any
 * @param sameZone true if all tasks must be in one zone at a time (co-location)
 * @param spreadZones true if at most half of the tasks, rounded up, may be in one zone (anti-affinity)
 * @param spotAllowed true if tasks may run on spot instances
 */
public record PlacementConstraints(
        List<String> types, String zone, boolean sameZone, boolean spreadZones, boolean spotAllowed) {
    /** Any machine of any type and zone, spot instances included. */
    public static final PlacementConstraints NONE = new PlacementConstraints(List.of(), null, false, false, true);

    /** Takes a copy of the list. */
    public PlacementConstraints {
        types = List.copyOf(types);
    }

    /** True if where a task may run depends on the zones of the job's other tasks. */
    public boolean hasZoneConstraint() {
        return sameZone || spreadZones;
    }

    /** True if machines of the type are allowed. */
    public boolean allowsType(String type) {
        return types.isEmpty() || types.contains(type);
    }

    /** True if such a machine is allowed, as far as the job's other tasks do not matter. */
    public boolean allows(String type, String inZone, boolean onSpot) {
        return allowsType(type) && (zone == null || zone.equals(inZone)) && (spotAllowed || !onSpot);
    }
}
