package dewlane.core.scheduling;

import dewlane.core.fleet.JobProgress;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.schema.Transaction;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One write about a job while it is put together: what becomes of its slices, which tasks are launched on which
 * machines, all within the changes and conditions that a transaction may have.
 */
final class JobUpdate {
    final JobEntry job;
    final JobProgress progress;
    final List<JobProgress.Launch> launches = new ArrayList<>();
    /** Slices with the outcomes that are known here; they need not all be written now. */
    private final Map<SliceEntry, Slice> withOutcomes = new LinkedHashMap<>();
    /** Slices that are written. */
    private final Map<SliceEntry, Slice> changed = new LinkedHashMap<>();
    /** New slices by their numbers. */
    private final Map<Integer, Slice> created = new LinkedHashMap<>();
    /** Slices that stay as they are, but on which the write depends. */
    private final Set<SliceEntry> unchanged = new HashSet<>();

    private final Set<String> machines = new HashSet<>();
    private final int maxWrites;
    private final int maxPreconditions;
    private int nextNumber;
    /** True if the write holds only as long as the job and the map are as they are. */
    private boolean requiresJobAndMap;

    /** With the room that a transaction leaves for slices and machines. */
    JobUpdate(JobEntry job, JobProgress work, int mostOps, int mostGuards) {
        this.job = job;
        this.progress = work;
        this.maxWrites = mostOps;
        this.maxPreconditions = mostGuards;
        this.nextNumber = job.nextSliceNumber();
    }

    /** The slice with the outcomes that are known here, and with what this write decides. */
    Slice value(SliceEntry slice) {
        Slice decided = changed.get(slice);
        return decided != null ? decided : withOutcomes.getOrDefault(slice, slice.value());
    }

    /** Outcomes of the slice are known. */
    void apply(SliceEntry slice, Slice value) {
        withOutcomes.put(slice, value);
    }

    Map<SliceEntry, Slice> withOutcomes() {
        return withOutcomes;
    }

    void put(SliceEntry slice, Slice value) {
        changed.put(slice, value);
    }

    void create(Slice slice) {
        created.put(nextNumber++, slice);
        requiresJobAndMap = true;
    }

    /** The write depends on a slice that it leaves as it is. */
    void dependOn(SliceEntry slice) {
        unchanged.add(slice);
        requiresJobAndMap = true;
    }

    /** The write holds only under the present map and as long as the job is as it is. */
    void requireJobAndMap() {
        requiresJobAndMap = true;
    }

    void launch(JobProgress.Launch launch) {
        launches.add(launch);
        machines.add(launch.machine().name());
        requiresJobAndMap = true;
    }

    Map<SliceEntry, Slice> changed() {
        return changed;
    }

    boolean isEmpty() {
        return changed.isEmpty() && created.isEmpty();
    }

    boolean usesNoMachine() {
        return machines.isEmpty();
    }

    /** How many more slices this write may change or create. */
    int remainingWrites() {
        return maxWrites - changed.size() - created.size();
    }

    /** True if a slice may be changed: it is already, or there is room for one more change. */
    boolean mayChange(SliceEntry slice) {
        return changed.containsKey(slice) || remainingWrites() > 0;
    }

    boolean hasNoAttempts() {
        return job.slices().stream().allMatch(slice -> value(slice).attempts().isEmpty());
    }

    boolean allDone() {
        int done = 0;
        for (SliceEntry slice : job.slices()) {
            done += value(slice).done().cardinality();
        }
        return done == job.job().tasks();
    }

    /** Writes the slices, on condition that they, and what the launches rest on, are as they were. */
    void write(Transaction.Builder transaction, long mapVersion) {
        changed.forEach((slice, value) ->
                transaction.require(slice.key(), slice.revision()).put(slice.key(), value));
        unchanged.forEach(slice -> transaction.require(slice.key(), slice.revision()));
        created.forEach((number, value) -> {
            String key = StoreKeys.slice(job.id(), number);
            transaction.require(key, 0).put(key, value);
        });
        if (requiresJobAndMap) {
            // A cancelled job, a slice dealt anew or a newer map each stop a launch here.
            transaction.require(StoreKeys.job(job.id()), job.revision()).require(StoreKeys.PARTITION_MAP, mapVersion);
            // A record of the leader's means that the machine is gone or is being deleted: a launch there would be
            // lost, not run twice, so what the transaction has no room for is left out.
            int room = Math.max(0, maxPreconditions - transaction.preconditionCount());
            machines.stream().limit(room).forEach(name -> transaction.require(StoreKeys.decommission(name), 0));
        }
    }
}
