package dewlane.core.model;

import java.util.List;
import java.util.Objects;

/**
 * What a user submitted.
 *
 * @param types allowed machine types, empty for any
 * @param zone the only allowed zone, or null
 * @param deadlineS seconds from submission, 0 for none
 * @param acceptedAtMs time of day at which the job was accepted
 * @param dependencies jobs that must be done before any task of this one starts
 */
public record Job(
        String id,
        String jobClass,
        String team,
        Priority priority,
        int tasks,
        double cpus,
        double gpus,
        double memoryGb,
        String image,
        double imageGb,
        List<String> types,
        String zone,
        boolean sameZone,
        boolean spreadZones,
        boolean spotAllowed,
        double expectedRunS,
        double checkpointIntervalS,
        double checkpointDurationS,
        double deadlineS,
        long acceptedAtMs,
        List<String> dependencies) {

    /** A job that awaits no other. */
    public Job(
            String id,
            String jobClass,
            String team,
            Priority priority,
            int tasks,
            double cpus,
            double gpus,
            double memoryGb,
            String image,
            double imageGb,
            List<String> types,
            String zone,
            boolean sameZone,
            boolean spreadZones,
            boolean spotAllowed,
            double expectedRunS,
            double checkpointIntervalS,
            double checkpointDurationS,
            double deadlineS,
            long acceptedAtMs) {
        this(
                id,
                jobClass,
                team,
                priority,
                tasks,
                cpus,
                gpus,
                memoryGb,
                image,
                imageGb,
                types,
                zone,
                sameZone,
                spreadZones,
                spotAllowed,
                expectedRunS,
                checkpointIntervalS,
                checkpointDurationS,
                deadlineS,
                acceptedAtMs,
                List.of());
    }

    /** Jobs whose tasks constrain each other's places stay in one slice. */
    public boolean hasZoneConstraint() {
        return sameZone || spreadZones;
    }

    /** What decides where a task of the job may go and whether it fits. */
    public record Requirements(
            double cpus, double gpus, double memoryGb, List<String> types, String zone, boolean spotAllowed) {
        /** True if the job may run on machines of the type. */
        public boolean allowsType(String type) {
            return types.isEmpty() || types.contains(type);
        }

        // Written out, as every job is looked up by its shape in each pass.
        @Override
        public boolean equals(Object o) {
            return o instanceof Requirements s
                    && cpus == s.cpus
                    && gpus == s.gpus
                    && memoryGb == s.memoryGb
                    && spotAllowed == s.spotAllowed
                    && types.equals(s.types)
                    && Objects.equals(zone, s.zone);
        }

        @Override
        public int hashCode() {
            return ((Double.hashCode(cpus) * 31 + Double.hashCode(memoryGb)) * 31 + types.hashCode()) * 31
                    + Objects.hashCode(zone);
        }
    }

    /** What the job asks of a machine. */
    public Requirements requirements() {
        return new Requirements(cpus, gpus, memoryGb, types, zone, spotAllowed);
    }

    /** True if the job may run on machines of the type. */
    public boolean allowsType(String type) {
        return types.isEmpty() || types.contains(type);
    }

    /** True if the job may run on such a machine. */
    public boolean allows(String type, String inZone, boolean onSpot) {
        return allowsType(type) && (zone == null || zone.equals(inZone)) && (spotAllowed || !onSpot);
    }

    /** The same job with the time of its acceptance. */
    public Job withAcceptedAt(long ms) {
        return with(ms, dependencies);
    }

    /** The same job awaiting the given jobs. */
    public Job withDependencies(List<String> jobs) {
        return with(acceptedAtMs, List.copyOf(jobs));
    }

    private Job with(long ms, List<String> jobs) {
        return new Job(
                id,
                jobClass,
                team,
                priority,
                tasks,
                cpus,
                gpus,
                memoryGb,
                image,
                imageGb,
                types,
                zone,
                sameZone,
                spreadZones,
                spotAllowed,
                expectedRunS,
                checkpointIntervalS,
                checkpointDurationS,
                deadlineS,
                ms,
                jobs);
    }
}
