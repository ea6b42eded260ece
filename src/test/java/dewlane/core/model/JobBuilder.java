package dewlane.core.model;

import java.util.List;

/** Builds jobs for tests. By default a job has one task with one CPU and belongs to team blue. */
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

    /** Returns a builder for a job with the given id. */
    public static JobBuilder job(String id) {
        return new JobBuilder(id);
    }

    /** Sets the job's class. */
    public JobBuilder jobClass(String value) {
        jobClass = value;
        return this;
    }

    /** Sets the team. */
    public JobBuilder team(String value) {
        team = value;
        return this;
    }

    /** Sets the priority. */
    public JobBuilder priority(Priority value) {
        priority = value;
        return this;
    }

    /** Sets the number of tasks. */
    public JobBuilder tasks(int value) {
        tasks = value;
        return this;
    }

    /** Sets the CPUs per task. */
    public JobBuilder cpus(double value) {
        cpus = value;
        return this;
    }

    /** Sets the GPUs per task. */
    public JobBuilder gpus(double value) {
        gpus = value;
        return this;
    }

    /** Sets the memory per task in GB. */
    public JobBuilder memoryGb(double value) {
        memoryGb = value;
        return this;
    }

    /** Sets the name of the container image. */
    public JobBuilder image(String value) {
        image = value;
        return this;
    }

    /** Sets the size of the container image in GB. */
    public JobBuilder imageGb(double value) {
        imageGb = value;
        return this;
    }

    /** Sets the allowed machine types, empty for any. */
    public JobBuilder types(List<String> value) {
        types = value;
        return this;
    }

    /** Sets the only allowed zone, or null for any. */
    public JobBuilder zone(String value) {
        zone = value;
        return this;
    }

    /** Sets whether all tasks must be in one zone. */
    public JobBuilder sameZone(boolean value) {
        sameZone = value;
        return this;
    }

    /** Sets whether tasks must be spread over zones. */
    public JobBuilder spreadZones(boolean value) {
        spreadZones = value;
        return this;
    }

    /** Sets whether spot instances are allowed. */
    public JobBuilder spotAllowed(boolean value) {
        spotAllowed = value;
        return this;
    }

    /** Sets the expected run time of a task in seconds. */
    public JobBuilder expectedRunS(double value) {
        expectedRunS = value;
        return this;
    }

    /** Sets the seconds between checkpoints, 0 for none. */
    public JobBuilder checkpointIntervalS(double value) {
        checkpointIntervalS = value;
        return this;
    }

    /** Sets the seconds that saving a checkpoint takes. */
    public JobBuilder checkpointDurationS(double value) {
        checkpointDurationS = value;
        return this;
    }

    /** Sets the deadline in seconds from acceptance, 0 for none. */
    public JobBuilder deadlineS(double value) {
        deadlineS = value;
        return this;
    }

    /** Sets the wall-clock time in milliseconds at which the job was accepted. */
    public JobBuilder acceptedAtMs(long value) {
        acceptedAtMs = value;
        return this;
    }

    /** Builds the job. */
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
