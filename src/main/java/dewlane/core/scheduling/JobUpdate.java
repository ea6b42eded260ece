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
 * One write about a job while it is put together: the new values of its slices and the tasks that are launched, within
 * the writes and preconditions that a transaction may have.
 */
final class JobUpdate {
    private final JobEntry job;
    private final JobProgress progress;
    private final int maxWrites;
    private final int maxPreconditions;
    private final List<JobProgress.Launch> launches = new ArrayList<>();
    /** Slices with the outcomes that are known here; they need not all be written now. */
    private final Map<SliceEntry, Slice> withOutcomes = new LinkedHashMap<>();
    /** Slices that are written. */
    private final Map<SliceEntry, Slice> changed = new LinkedHashMap<>();
    /** New slices by their numbers. */
    private final Map<Integer, Slice> created = new LinkedHashMap<>();
    /** Slices that stay as they are, but on which the write depends. */
    private final Set<SliceEntry> unchanged = new HashSet<>();
    /** Names of the machines on which tasks are launched. */
    private final Set<String> machines = new HashSet<>();

    private int nextSliceNumber;
    /** True if the write holds only as long as the job and the partition map are as they are. */
    private boolean requiresJobAndMap;

    /** An empty write, with the writes and preconditions that a transaction leaves for slices and machines. */
    JobUpdate(JobEntry job, JobProgress progress, int maxWrites, int maxPreconditions) {
        this.job = job;
        this.progress = progress;
        this.maxWrites = maxWrites;
        this.maxPreconditions = maxPreconditions;
        this.nextSliceNumber = job.nextSliceNumber();
    }

    /** The job that the write is about. */
    JobEntry job() {
        return job;
    }

    /** What this controller is doing for the job. */
    JobProgress progress() {
        return progress;
    }

    /** The slice with the outcomes that are known here, and with what this write decides. */
    Slice value(SliceEntry slice) {
        Slice decided = changed.get(slice);
        return decided != null ? decided : withOutcomes.getOrDefault(slice, slice.value());
    }

    /** Outcomes of the slice are known, which give it the value. They are written only by {@link #put}. */
    void recordOutcomes(SliceEntry slice, Slice value) {
        withOutcomes.put(slice, value);
    }

    /** True if outcomes of the slice are known. */
    boolean hasOutcomes(SliceEntry slice) {
        return withOutcomes.containsKey(slice);
    }

    /** Leaves the outcomes of the slice for a later write. */
    void discardOutcomes(SliceEntry slice) {
        withOutcomes.remove(slice);
    }

    /** Slices of which outcomes are known. */
    Collection<SliceEntry> slicesWithOutcomes() {
        return withOutcomes.keySet();
    }

    /** Calls the action with each slice of which outcomes are known, and its value with them. */
    void forEachWithOutcomes(BiConsumer<SliceEntry, Slice> action) {
        withOutcomes.forEach(action);
    }

    /** Writes a value of the slice. */
    void put(SliceEntry slice, Slice value) {
        changed.put(slice, value);
    }

    /** Writes a slice with a new number. */
    void create(Slice slice) {
        created.put(nextSliceNumber++, slice);
        requiresJobAndMap = true;
    }

    /** The write depends on a slice that it leaves as it is. */
    void dependOn(SliceEntry slice) {
        unchanged.add(slice);
        requiresJobAndMap = true;
    }

    /** The write holds only under the present partition map and as long as the job is as it is. */
    void requireJobAndMap() {
        requiresJobAndMap = true;
    }

    /** Adds a launch; the slice that holds the attempt is to be {@link #put}. */
    void launch(JobProgress.Launch launch) {
        launches.add(launch);
        machines.add(launch.machine().name());
        requiresJobAndMap = true;
    }

    /** How many tasks are launched. */
    int launchCount() {
        return launches.size();
    }

    /** True if tasks are launched. */
    boolean hasLaunches() {
        return !launches.isEmpty();
    }

    /** Slices that are written, without new ones. */
    Collection<SliceEntry> changedSlices() {
        return changed.keySet();
    }

    /** True if a value of the slice is written. */
    boolean changes(SliceEntry slice) {
        return changed.containsKey(slice);
    }

    /** How many attempts the written slices hold, without new slices. */
    int attemptCount() {
        int sum = 0;
        for (Slice slice : changed.values()) {
            sum += slice.attempts().size();
        }
        return sum;
    }

    /** True if no slice is written. */
    boolean isEmpty() {
        return changed.isEmpty() && created.isEmpty();
    }

    /** How many more slices this write may change or create. */
    int remainingWrites() {
        return maxWrites - changed.size() - created.size();
    }

    /** True if a slice may be changed: it is already, or one more write is allowed. */
    boolean mayChange(SliceEntry slice) {
        return changed.containsKey(slice) || remainingWrites() > 0;
    }

    /** True if nothing of the job is left to run: every task is done, or it is cancelled and has no attempt left. */
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

    /** Adds the slices to a transaction, on condition that they, and what the launches rest on, are as they were. */
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
        // A cancelled job, a reassigned slice or a newer partition map each stop a launch here.
        transaction
                .require(StoreKeys.job(job.id()), job.revision())
                .require(StoreKeys.PARTITION_MAP, partitionMapRevision);
        // A decommission record means that the machine is terminated or being deleted: a launch there would be lost,
        // not run twice, so machines beyond the limit of preconditions are left out.
        int remaining = Math.max(0, maxPreconditions - transaction.preconditionCount());
        machines.stream().limit(remaining).forEach(name -> transaction.require(StoreKeys.decommission(name), 0));
    }
}
