package dewlane.core.scheduling;

import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.SliceSizeBound;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.schema.StoredValue.SliceAssignment;
import java.util.ArrayList;
import java.util.List;

/**
 * Divides new jobs into slices and assigns those to partitions by their free capacity. Slices are few, as each one
 * costs writes.
 */
public final class SliceAssigner {
    /** Keeps a slice's done marks well within the smallest value that the store takes. */
    private static final int MAX_TASKS_PER_SLICE = 20_000;
    /** Tasks for which there is no capacity are divided into slices of at least so many. */
    private static final int MIN_PENDING_TASKS_PER_SLICE = 150;

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final PartitionSelector partitions;

    /** Assigns slices to the selected partitions. */
    public SliceAssigner(ControllerContext context, MachineRegistry machines, PartitionSelector partitions) {
        this.context = context;
        this.machines = machines;
        this.partitions = partitions;
    }

    /**
     * The slices of a new job: one if a partition has capacity for all of it, or else as few as the capacity is spread
     * over. Tasks for which there is none are assigned to the partitions with the least demand. A slice holds no more
     * tasks than its value can hold attempts.
     */
    public List<SliceAssignment> assign(Job job) {
        List<PartitionCandidate> candidates = partitions.forNewJob(job);
        if (job.hasZoneConstraint()) {
            return wholeJob(job, candidates.get(0));
        }
        int maxSlices = Math.max(1, context.settings().maxSlicesPerJob());
        int[] taskCounts = taskCounts(job, candidates);
        int tasksPerSlice = Math.min(MAX_TASKS_PER_SLICE, tasksPerSlice(job));
        while (sliceCount(taskCounts, tasksPerSlice) > maxSlices && tasksPerSlice < job.tasks()) {
            tasksPerSlice = Math.min(job.tasks(), 2 * tasksPerSlice);
        }
        if (sliceCount(taskCounts, tasksPerSlice) > maxSlices) {
            taskCounts = new int[] {job.tasks()};
        }
        List<SliceAssignment> assignments = new ArrayList<>();
        int firstTask = 0;
        for (int i = 0; i < taskCounts.length; i++) {
            SliceAssignment run = new SliceAssignment(candidates.get(i).controller(), firstTask, taskCounts[i]);
            addSlices(assignments, run, tasksPerSlice);
            firstTask += taskCounts[i];
        }
        return assignments;
    }

    /** All of a job's tasks as one slice, for a record that has no space for more. */
    public List<SliceAssignment> assignAsOneSlice(Job job) {
        return wholeJob(job, partitions.forNewJob(job).get(0));
    }

    private static List<SliceAssignment> wholeJob(Job job, PartitionCandidate candidate) {
        return List.of(new SliceAssignment(candidate.controller(), 0, job.tasks()));
    }

    /** How many tasks each candidate gets: as many as it has capacity for, and then an equal part of the rest. */
    private static int[] taskCounts(Job job, List<PartitionCandidate> candidates) {
        int[] taskCounts = new int[candidates.size()];
        int remaining = job.tasks();
        for (int i = 0; i < taskCounts.length && remaining > 0; i++) {
            taskCounts[i] = Math.min(remaining, candidates.get(i).capacity());
            remaining -= taskCounts[i];
        }
        int pendingSlices = Math.min(taskCounts.length, divideRoundingUp(remaining, MIN_PENDING_TASKS_PER_SLICE));
        for (int i = 0; i < pendingSlices; i++) {
            int pending = remaining / (pendingSlices - i);
            taskCounts[i] += pending;
            remaining -= pending;
        }
        return taskCounts;
    }

    private static int sliceCount(int[] taskCounts, int tasksPerSlice) {
        int sum = 0;
        for (int taskCount : taskCounts) {
            sum += divideRoundingUp(taskCount, tasksPerSlice);
        }
        return sum;
    }

    private static int divideRoundingUp(int count, int divisor) {
        return (int) (((long) count + divisor - 1) / divisor);
    }

    /** Tasks whose attempts one value holds, on machines of the types that fit, each half free. */
    private int tasksPerSlice(Job job) {
        int types = 0;
        int fitting = 0;
        for (MachineType type : machines.types()) {
            if (job.allowsType(type.name()) && type.capacityFor(job) > 0) {
                types++;
                fitting += type.capacityFor(job);
            }
        }
        int tasksPerMachine = types == 0 ? 1 : Math.max(1, fitting / types / 2);
        return SliceSizeBound.maxTasksPerSlice(context.settings().maxValueBytes(), tasksPerMachine);
    }

    /** Divides a run of tasks into slices of about equal length. */
    private static void addSlices(List<SliceAssignment> assignments, SliceAssignment run, int tasksPerSlice) {
        int end = run.first() + run.count();
        int first = run.first();
        for (int remaining = divideRoundingUp(run.count(), tasksPerSlice); remaining > 0; remaining--) {
            int count = (end - first) / remaining;
            assignments.add(new SliceAssignment(run.owner(), first, count));
            first += count;
        }
    }
}
