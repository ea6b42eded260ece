package dewlane.core.scheduling;

import dewlane.core.fleet.JobProgress;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.schema.Transaction;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Builder of one transaction that changes a job: collects new values of its slices and the tasks that are launched,
 * within the limits on writes and preconditions of a transaction.
 */
final class JobUpdate {
    private final JobEntry job;
    private final JobProgress progress;
    private final int maxWrites;
    private final int maxPreconditions;
    private final List<JobProgress.Launch> launches = new ArrayList<>();
    /**
     * Slices with the outcomes that this controller has recorded. Not all of them need to be written by this update.
     */
    private final Map<SliceEntry, Slice> withOutcomes = new LinkedHashMap<>();
    /** New values of existing slices that this update writes. */
    private final Map<SliceEntry, Slice> changed = new LinkedHashMap<>();
    /** New slices, by slice number. */
    private final Map<Integer, Slice> created = new LinkedHashMap<>();
    /** Slices that are not changed, but that the transaction requires to be unchanged. */
    private final Set<SliceEntry> unchanged = new HashSet<>();
    /** Names of the machines on which tasks are launched. */
    private final Set<String> machines = new HashSet<>();

    private int nextSliceNumber;
    /** True if the transaction requires the job's record and the partition map to be unchanged. */
    private boolean requiresJobAndMap;

    /** Creates an empty update with the given maximum number of writes and of preconditions. */
    JobUpdate(JobEntry job, JobProgress progress, int maxWrites, int maxPreconditions) {
        this.job = job;
        this.progress = progress;
        this.maxWrites = maxWrites;
        this.maxPreconditions = maxPreconditions;
        this.nextSliceNumber = job.nextSliceNumber();
    }

    /** Returns the job that is changed. */
    JobEntry job() {
        return job;
    }

    /** Returns what this controller is doing for the job. */
    JobProgress progress() {
        return progress;
    }

    /** Returns the slice as this update leaves it; if the update does not change it, with all recorded outcomes. */
    Slice value(SliceEntry slice) {
        Slice decided = changed.get(slice);
        return decided != null ? decided : withOutcomes.getOrDefault(slice, slice.value());
    }

    /** Records the value that the slice has with all its recorded outcomes. It is written only by {@link #put}. */
    void recordOutcomes(SliceEntry slice, Slice value) {
        withOutcomes.put(slice, value);
    }

    /** Returns true if the slice has recorded outcomes. */
    boolean hasOutcomes(SliceEntry slice) {
        return withOutcomes.containsKey(slice);
    }

    /** Leaves the outcomes of the slice for a later write. */
    void discardOutcomes(SliceEntry slice) {
        withOutcomes.remove(slice);
    }

    /** Returns the slices that have recorded outcomes. */
    Collection<SliceEntry> slicesWithOutcomes() {
        return withOutcomes.keySet();
    }

    /** Calls the action with each slice that has recorded outcomes, and with its value that includes them. */
    void forEachWithOutcomes(BiConsumer<SliceEntry, Slice> action) {
        withOutcomes.forEach(action);
    }

    /** Sets the value that is written for the slice. */
    void put(SliceEntry slice, Slice value) {
        changed.put(slice, value);
    }

    /** Adds a slice under a new number. */
    void create(Slice slice) {
        created.put(nextSliceNumber++, slice);
        requiresJobAndMap = true;
    }

    /** Requires the slice to be unchanged, without writing it. */
    void requireUnchanged(SliceEntry slice) {
        unchanged.add(slice);
        requiresJobAndMap = true;
    }

    /** Requires the job's record and the partition map to be unchanged. */
    void requireJobAndMap() {
        requiresJobAndMap = true;
    }

    /** Adds a launch. The caller must also {@link #put} the slice with the attempt. */
    void launch(JobProgress.Launch launch) {
        launches.add(launch);
        machines.add(launch.machine().name());
        requiresJobAndMap = true;
    }

    /** Returns the number of tasks that are launched. */
    int launchCount() {
        return launches.size();
    }

    /** Returns true if tasks are launched. */
    boolean hasLaunches() {
        return !launches.isEmpty();
    }

    /** Returns the existing slices that are written. */
    Collection<SliceEntry> changedSlices() {
        return changed.keySet();
    }

    /** Returns true if the slice is written. */
    boolean changes(SliceEntry slice) {
        return changed.containsKey(slice);
    }

    /** Returns the number of attempts in the existing slices that are written. */
    int attemptCount() {
        int sum = 0;
        for (Slice slice : changed.values()) {
            sum += slice.attempts().size();
        }
        return sum;
    }

    /** Returns true if no slice is written or created. */
    boolean isEmpty() {
        return changed.isEmpty() && created.isEmpty();
    }

    /** Returns how many more slices this update may change or create. */
    int remainingWrites() {
        return maxWrites - changed.size() - created.size();
    }

    /** Returns true if the slice may be changed: it is changed already, or one more write is allowed. */
    boolean mayChange(SliceEntry slice) {
        return changed.containsKey(slice) || remainingWrites() > 0;
    }

    /** Returns true if all tasks of the job are done, or the job is cancelled and has no attempt left. */
    boolean isJobOver() {
        return job.isCancelled() ? hasNoAttempts() : isComplete();
    }

    private boolean hasNoAttempts() {
        return job.slices().stream().allMatch(slice -> value(slice).attempts().isEmpty());
    }

    private boolean isComplete() {
        int done = 0;
        for (SliceEntry slice : job.slices()) {
            done += value(slice).done().cardinality();
        }
        return done == job.job().tasks();
    }

    /** Adds the writes and preconditions of this update to a transaction. */
    void addTo(Transaction.Builder transaction, long partitionMapRevision) {
        changed.forEach((slice, value) ->
                transaction.require(slice.key(), slice.revision()).put(slice.key(), value));
        unchanged.forEach(slice -> transaction.require(slice.key(), slice.revision()));
        created.forEach((number, value) -> {
            String key = StoreKeys.slice(job.id(), number);
            transaction.require(key, 0).put(key, value);
        });
        if (requiresJobAndMap) {
            addLaunchPreconditions(transaction, partitionMapRevision);
        }
    }

    private void addLaunchPreconditions(Transaction.Builder transaction, long partitionMapRevision) {
        // Rejects the launch if the job was cancelled or the partition map has changed. A slice that was reassigned is
        // detected by these or by the precondition on the slice itself.
        transaction
                .require(StoreKeys.job(job.id()), job.revision())
                .require(StoreKeys.PARTITION_MAP, partitionMapRevision);
        // Rejects the launch if a machine has a decommission record, which means that it is terminated or being
        // deleted. Machines beyond the limit of preconditions are left out: a launch on a decommissioned machine would
        // be lost, but no task would run twice.
        int remaining = Math.max(0, maxPreconditions - transaction.preconditionCount());
        machines.stream().limit(remaining).forEach(name -> transaction.require(StoreKeys.decommission(name), 0));
    }
}
