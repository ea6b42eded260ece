package dewlane.core.model;

import java.util.Collection;
import java.util.List;
import java.util.Objects;

/**
 * A job as a user submitted it: an array of identical tasks. Accessors such as {@link #cpus()} are shortcuts to the
 * fields of the nested records.
 *
 * @param id unique id, chosen by the user
 * @param ownership the team, class and priority
 * @param taskArray the tasks and their requirements
 * @param timing run time estimate, checkpointing and deadline
 * @param acceptedAtMs wall-clock time in milliseconds at which the job was accepted, 0 before that
 * @param dependencies ids of the jobs that must be done before any task of this one starts
 */
public record Job(
        String id,
        JobOwnership ownership,
        TaskArray taskArray,
        JobTiming timing,
        long acceptedAtMs,
        JobIds dependencies) {

    /** Returns a builder for a job with the given id. */
    public static Builder builder(String id) {
        return new Builder(id);
    }

    /** Returns the team whose guaranteed share and limit apply. */
    public String team() {
        return ownership.team();
    }

    /** Returns the job's class; the settings define service-level objectives per class. */
    public String jobClass() {
        return ownership.jobClass();
    }

    /** Returns the job's own priority, without the priority that it inherits from its dependents. */
    public Priority priority() {
        return ownership.priority();
    }

    /** Returns the number of tasks. */
    public int tasks() {
        return taskArray.count();
    }

    /** Returns the CPUs of one task. */
    public double cpus() {
        return taskArray.resources().cpus();
    }

    /** Returns the GPUs of one task. */
    public double gpus() {
        return taskArray.resources().gpus();
    }

    /** Returns the memory of one task in GB. */
    public double memoryGb() {
        return taskArray.resources().memoryGb();
    }

    /** Returns the name of the container image. */
    public String image() {
        return taskArray.image().name();
    }

    /** Returns the size of the container image in GB. */
    public double imageGb() {
        return taskArray.image().sizeGb();
    }

    /** Returns the names of the allowed machine types, empty for any. */
    public List<String> types() {
        return taskArray.placement().types();
    }

    /** Returns the only allowed zone, or null for any. */
    public String zone() {
        return taskArray.placement().zone();
    }

    /** Returns true if all tasks that are on machines at the same time must be in one zone. */
    public boolean sameZone() {
        return taskArray.placement().sameZone();
    }

    /** Returns true if at most half of the tasks, rounded up, may be in one zone. */
    public boolean spreadZones() {
        return taskArray.placement().spreadZones();
    }

    /** Returns true if tasks may run on spot instances. */
    public boolean spotAllowed() {
        return taskArray.placement().spotAllowed();
    }

    /** Returns the owner's estimate of a task's run time in seconds, without the image fetch. */
    public double expectedRunS() {
        return timing.expectedRunS();
    }

    /** Returns the seconds of progress between checkpoints, 0 if tasks never save one. */
    public double checkpointIntervalS() {
        return timing.checkpointIntervalS();
    }

    /** Returns the seconds that a task needs to save a checkpoint when it is stopped. */
    public double checkpointDurationS() {
        return timing.checkpointDurationS();
    }

    /** Returns the seconds from acceptance within which the job should be done, 0 for no deadline. */
    public double deadlineS() {
        return timing.deadlineS();
    }

    /** Returns true if the allowed zones of a task depend on the other tasks; such a job is kept in one slice. */
    public boolean hasZoneConstraint() {
        return taskArray.placement().hasZoneConstraint();
    }

    /** Returns the requirements that a machine must meet to run tasks of the job. */
    public Requirements requirements() {
        return new Requirements(cpus(), gpus(), memoryGb(), types(), zone(), spotAllowed());
    }

    /** Returns true if the job may run on machines of the type. */
    public boolean allowsType(String type) {
        return taskArray.placement().allowsType(type);
    }

    /** Returns true if the job may run on a machine of this kind, without regard to the zones of its other tasks. */
    public boolean allows(String type, String inZone, boolean onSpot) {
        return taskArray.placement().allows(type, inZone, onSpot);
    }

    /** Returns a copy of the job with the wall-clock time in milliseconds at which it was accepted. */
    public Job withAcceptedAt(long timeMs) {
        return new Job(id, ownership, taskArray, timing, timeMs, dependencies);
    }

    /** Returns a copy of the job with other dependencies. */
    public Job withDependencies(Collection<String> jobs) {
        return new Job(id, ownership, taskArray, timing, acceptedAtMs, JobIds.of(jobs));
    }

    /**
     * The requirements that decide which machines a task may run on. Jobs with equal requirements have the same
     * candidates, zone constraints between tasks aside.
     *
     * @param cpus CPUs of one task
     * @param gpus GPUs of one task
     * @param memoryGb memory of one task in GB
     * @param types names of the allowed machine types, empty for any
     * @param zone the only allowed zone, or null for any
     * @param spotAllowed true if spot instances are allowed
     */
    public record Requirements(
            double cpus, double gpus, double memoryGb, List<String> types, String zone, boolean spotAllowed) {
        /** Returns true if machines of the type are allowed. */
        public boolean allowsType(String type) {
            return types.isEmpty() || types.contains(type);
        }

        // Hand-written for performance: each scheduling cycle looks up every job by its requirements.
        @Override
        public boolean equals(Object other) {
            return other instanceof Requirements that
                    && cpus == that.cpus
                    && gpus == that.gpus
                    && memoryGb == that.memoryGb
                    && spotAllowed == that.spotAllowed
                    && types.equals(that.types)
                    && Objects.equals(zone, that.zone);
        }

        // The iteration order of hash maps with requirements as keys depends on this value.
        @Override
        public int hashCode() {
            return ((Double.hashCode(cpus) * 31 + Double.hashCode(memoryGb)) * 31 + types.hashCode()) * 31
                    + Objects.hashCode(zone);
        }
    }

    /** Builds a job. The defaults are one task, no placement constraints and no dependencies. */
    public static final class Builder {
        private final String id;
        private JobOwnership ownership;
        private int tasks = 1;
        private Resources resources;
        private ContainerImage image;
        private PlacementConstraints placement = PlacementConstraints.NONE;
        private JobTiming timing;
        private long acceptedAtMs;
        private JobIds dependencies = JobIds.NONE;

        private Builder(String id) {
            this.id = id;
        }

        /** Sets the team, class and priority. Required. */
        public Builder ownership(JobOwnership value) {
            ownership = value;
            return this;
        }

        /** Sets the number of tasks; 1 by default. */
        public Builder tasks(int value) {
            tasks = value;
            return this;
        }

        /** Sets the resources that one task uses. Required. */
        public Builder resources(Resources value) {
            resources = value;
            return this;
        }

        /** Sets the container image. Required. */
        public Builder image(ContainerImage value) {
            image = value;
            return this;
        }

        /** Sets the placement constraints; none by default. */
        public Builder placement(PlacementConstraints value) {
            placement = value;
            return this;
        }

        /** Sets the run time estimate, checkpointing and deadline. Required. */
        public Builder timing(JobTiming value) {
            timing = value;
            return this;
        }

        /** Sets the wall-clock time in milliseconds at which the job was accepted; by default 0, not accepted yet. */
        public Builder acceptedAtMs(long value) {
            acceptedAtMs = value;
            return this;
        }

        /** Sets the ids of the jobs that must be done first; none by default. */
        public Builder dependencies(Collection<String> value) {
            dependencies = JobIds.of(value);
            return this;
        }

        /** Builds the job. Throws {@link NullPointerException} if a required property was not set. */
        public Job build() {
            Objects.requireNonNull(ownership, "ownership");
            Objects.requireNonNull(resources, "resources");
            Objects.requireNonNull(image, "image");
            Objects.requireNonNull(timing, "timing");
            TaskArray taskArray = new TaskArray(tasks, resources, image, placement);
            return new Job(id, ownership, taskArray, timing, acceptedAtMs, dependencies);
        }
    }
}
