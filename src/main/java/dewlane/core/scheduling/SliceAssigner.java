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
 * Divides new jobs into slices and assigns the slices to partitions by free capacity. Keeps the number of slices low,
 * because each slice costs writes.
 */
public final class SliceAssigner {
    /** Keeps the done marks of a slice well within the smallest size limit of a value. */
    private static final int MAX_TASKS_PER_SLICE = 20_000;
    /** Tasks for which there is no capacity are divided among one partition per this many tasks, rounded up. */
    private static final int PENDING_TASKS_PER_PARTITION = 150;

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final PartitionSelector partitions;

    /** Creates an assigner that uses the selector's ranking of partitions. */
    public SliceAssigner(ControllerContext context, MachineRegistry machines, PartitionSelector partitions) {
        this.context = context;
        this.machines = machines;
        this.partitions = partitions;
    }

    /**
     * Returns the slices of a new job: one if a partition has capacity for the whole job, otherwise one for each of the
     * fewest partitions that together have capacity for it. Tasks for which no partition has capacity are divided among
     * the partitions with the least demand. A run of tasks is divided further if all its attempts would not fit into
     * one slice's value. Slices are made larger than that only if the job would otherwise have too many slices.
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

    /** Returns one slice with all tasks of the job, for a job record that has no space for more slices. */
    public List<SliceAssignment> assignAsOneSlice(Job job) {
        return wholeJob(job, partitions.forNewJob(job).get(0));
    }

    private static List<SliceAssignment> wholeJob(Job job, PartitionCandidate candidate) {
        return List.of(new SliceAssignment(candidate.controller(), 0, job.tasks()));
    }

    /**
     * Returns how many tasks each candidate gets: as many as it has capacity for, plus, for the first candidates, an
     * equal part of the tasks for which there is no capacity.
     */
    private static int[] taskCounts(Job job, List<PartitionCandidate> candidates) {
        int[] taskCounts = new int[candidates.size()];
        int remaining = job.tasks();
        for (int i = 0; i < taskCounts.length && remaining > 0; i++) {
            taskCounts[i] = Math.min(remaining, candidates.get(i).capacity());
            remaining -= taskCounts[i];
        }
        int pendingPartitions = Math.min(taskCounts.length, divideRoundingUp(remaining, PENDING_TASKS_PER_PARTITION));
        for (int i = 0; i < pendingPartitions; i++) {
            int pending = remaining / (pendingPartitions - i);
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

    /**
     * Returns how many tasks a slice may have so that their attempts fit into its value, assuming that they run on
     * half-free machines of the allowed types.
     */
    private int tasksPerSlice(Job job) {
        int typeCount = 0;
        int totalCapacity = 0;
        for (MachineType type : machines.types()) {
            if (job.allowsType(type.name()) && type.capacityFor(job) > 0) {
                typeCount++;
                totalCapacity += type.capacityFor(job);
            }
        }
        int tasksPerMachine = typeCount == 0 ? 1 : Math.max(1, totalCapacity / typeCount / 2);
        return SliceSizeBound.maxTasksPerSlice(context.settings().maxValueBytes(), tasksPerMachine);
    }

    /** Divides a run of consecutive tasks into slices of about equal size. */
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
