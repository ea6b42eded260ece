package dewlane.core.model;

import java.util.List;

/**
 * Constraints on the machines that a job's tasks may run on.
 *
 * @param types names of the allowed machine types, empty for any
 * @param zone the only allowed zone, or null for any
 * @param sameZone true if all tasks that are on machines at the same time must be in one zone (co-location)
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

    /** Returns true if the allowed zones of a task depend on the zones of the job's other tasks. */
    public boolean hasZoneConstraint() {
        return sameZone || spreadZones;
    }

    /** Returns true if machines of the type are allowed. */
    public boolean allowsType(String type) {
        return types.isEmpty() || types.contains(type);
    }

    /** Returns true if a machine of this kind is allowed, without regard to the zones of the job's other tasks. */
    public boolean allows(String type, String inZone, boolean onSpot) {
        return allowsType(type) && (zone == null || zone.equals(inZone)) && (spotAllowed || !onSpot);
    }
}
