package dewlane.core.model;

import java.util.List;

/** Builds jobs for tests. What a test does not name is small and ordinary: one task of one CPU, for team blue. */
public final class JobBuilder {
    private final String id;
    private String jobClass = "lot";
    private String team = "blue";
    private Priority priority = Priority.HIGH;
    private int tasks = 1;
    private double cpus = 1;
    private double gpus;
    private double memoryGb = 1;
    private String image = "image";
    private double imageGb = 1;
    private List<String> types = List.of();
    private String zone;
    private boolean sameZone;
    private boolean spreadZones;
    private boolean spotAllowed = true;
    private double expectedRunS = 10;
    private double checkpointIntervalS;
    private double checkpointDurationS;
    private double deadlineS;
    private long acceptedAtMs;

    private JobBuilder(String id) {
        this.id = id;
    }

    /** Begins a job with the given id. */
    public static JobBuilder job(String id) {
        return new JobBuilder(id);
    }

    /** The kind of job. */
    public JobBuilder jobClass(String value) {
        jobClass = value;
        return this;
    }

    /** The team whose limit it counts against. */
    public JobBuilder team(String value) {
        team = value;
        return this;
    }

    /** Its priority. */
    public JobBuilder priority(Priority value) {
        priority = value;
        return this;
    }

    /** The number of its tasks. */
    public JobBuilder tasks(int value) {
        tasks = value;
        return this;
    }

    /** CPUs a task. */
    public JobBuilder cpus(double value) {
        cpus = value;
        return this;
    }

    /** GPUs a task. */
    public JobBuilder gpus(double value) {
        gpus = value;
        return this;
    }

    /** Memory a task, in GB. */
    public JobBuilder memoryGb(double value) {
        memoryGb = value;
        return this;
    }

    /** The image of its tasks. */
    public JobBuilder image(String value) {
        image = value;
        return this;
    }

    /** The size of the image, in GB. */
    public JobBuilder imageGb(double value) {
        imageGb = value;
        return this;
    }

    /** Allowed machine types, empty for any. */
    public JobBuilder types(List<String> value) {
        types = value;
        return this;
    }

    /** The only allowed zone, or null. */
    public JobBuilder zone(String value) {
        zone = value;
        return this;
    }

    /** True if all tasks must be in one zone. */
    public JobBuilder sameZone(boolean value) {
        sameZone = value;
        return this;
    }

    /** True if tasks must be spread over zones. */
    public JobBuilder spreadZones(boolean value) {
        spreadZones = value;
        return this;
    }

    /** True if it may use spot machines. */
    public JobBuilder spotAllowed(boolean value) {
        spotAllowed = value;
        return this;
    }

    /** How long a task is expected to run, in seconds. */
    public JobBuilder expectedRunS(double value) {
        expectedRunS = value;
        return this;
    }

    /** Seconds between checkpoints, 0 for none. */
    public JobBuilder checkpointIntervalS(double value) {
        checkpointIntervalS = value;
        return this;
    }

    /** Seconds that saving takes. */
    public JobBuilder checkpointDurationS(double value) {
        checkpointDurationS = value;
        return this;
    }

    /** Seconds from submission, 0 for none. */
    public JobBuilder deadlineS(double value) {
        deadlineS = value;
        return this;
    }

    /** The time of day at which it was accepted, in milliseconds. */
    public JobBuilder acceptedAtMs(long value) {
        acceptedAtMs = value;
        return this;
    }

    /** The job with all that was named. */
    public Job build() {
        return Job.builder(id)
                .ownership(new JobOwnership(team, jobClass, priority))
                .tasks(tasks)
                .resources(new Resources(cpus, gpus, memoryGb))
                .image(new ContainerImage(image, imageGb))
                .placement(new PlacementConstraints(types, zone, sameZone, spreadZones, spotAllowed))
                .timing(new JobTiming(expectedRunS, checkpointIntervalS, checkpointDurationS, deadlineS))
                .acceptedAtMs(acceptedAtMs)
                .build();
    }
}
