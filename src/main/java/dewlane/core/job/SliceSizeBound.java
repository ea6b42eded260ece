package dewlane.core.job;

import dewlane.core.model.Attempt;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.schema.UnknownFields;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * An upper bound of the size of a stored slice in bytes, now and after any outcomes of its attempts. If a launch keeps
 * the bound within the limit, the slice can be written again whatever the outcomes of the launched attempts are.
 * Outcomes split ranges of tasks, so each attempt is counted as two tasks that are stored individually.
 */
public final class SliceSizeBound {
    /** Field names, quotes and brackets of a slice. */
    private static final int SLICE_OVERHEAD_BYTES = 64;
    /** Brackets and commas of one launch. */
    private static final int LAUNCH_OVERHEAD_BYTES = 5;
    /** Brackets, quotes and commas of one machine within a launch. */
    private static final int MACHINE_OVERHEAD_BYTES = 8;

    // Sizes of the entries of a slice if the names in them have a typical length.
    private static final int TYPICAL_MACHINE_BYTES = 22;
    private static final int TYPICAL_TASK_BYTES = 8;
    private static final int TYPICAL_SLICE_BYTES = 220;

    /** The key of a machine's entry within a launch. All attempts of the launch on that machine share the entry. */
    private record LaunchOnMachine(int number, String machine, long incarnation, long fencingToken) {
        static LaunchOnMachine of(Attempt attempt) {
            return new LaunchOnMachine(
                    attempt.number(), attempt.machine(), attempt.incarnation(), attempt.fencingToken());
        }
    }

    private final int attemptTaskBytes;
    /** The token of the first attempt of each launch, by launch number. Others are stored as differences from it. */
    private final Map<Integer, Long> firstTokens = new HashMap<>();

    private final Set<LaunchOnMachine> machineEntries = new HashSet<>();
    private int totalBytes;

    /** Computes the bound for the slice with its present attempts. */
    public SliceSizeBound(Slice slice) {
        attemptTaskBytes = 2 * (digits(slice.count()) + 1);
        totalBytes = SLICE_OVERHEAD_BYTES
                + slice.owner().length()
                + digits(slice.first())
                + digits(slice.count())
                + digits(slice.launchCount() + 1L)
                + doneBytes(slice.done());
        if (!slice.unknown().equals(UnknownFields.NONE)) {
            totalBytes += 2 * slice.unknown().byName().toString().length();
        }
        slice.attempts().forEach(this::add);
    }

    /** Returns the bound for the slice with its present attempts, in bytes. */
    static int ofSlice(Slice slice) {
        return new SliceSizeBound(slice).totalBytes;
    }

    /**
     * Returns the largest number of tasks of a slice that stays within the limit while all of them run at once, for
     * names of a typical length.
     *
     * @param tasksPerMachine the number of tasks that run on one machine
     * @return at least 1
     */
    public static int maxTasksPerSlice(int limitBytes, int tasksPerMachine) {
        int bytesPerMachine = TYPICAL_MACHINE_BYTES + tasksPerMachine * TYPICAL_TASK_BYTES;
        return Math.max(1, (limitBytes - TYPICAL_SLICE_BYTES) * tasksPerMachine / bytesPerMachine);
    }

    /** Adds an attempt to the bound. */
    public void add(Attempt attempt) {
        totalBytes += bytesOf(attempt);
        firstTokens.putIfAbsent(attempt.number(), attempt.fencingToken());
        machineEntries.add(LaunchOnMachine.of(attempt));
    }

    /** Returns true if the slice stays within the limit after the attempt is added. */
    public boolean fits(Attempt attempt, int limitBytes) {
        return totalBytes + bytesOf(attempt) <= limitBytes;
    }

    private int bytesOf(Attempt attempt) {
        int attemptBytes = attemptTaskBytes;
        Long firstToken = firstTokens.get(attempt.number());
        if (firstToken == null) {
            attemptBytes += LAUNCH_OVERHEAD_BYTES
                    + digits(attempt.number())
                    + digits(attempt.launchedAtMs())
                    + digits(attempt.fencingToken());
            firstToken = attempt.fencingToken();
        }
        if (!machineEntries.contains(LaunchOnMachine.of(attempt))) {
            attemptBytes += MACHINE_OVERHEAD_BYTES
                    + attempt.machine().length()
                    + digits(attempt.incarnation())
                    + digits(Math.abs(attempt.fencingToken() - firstToken));
        }
        return attemptBytes;
    }

    /** Returns the size of the done marks in bytes. They are stored as ranges of tasks. */
    private static int doneBytes(BitSet done) {
        int bytes = 0;
        for (int from = done.nextSetBit(0); from >= 0; ) {
            int to = done.nextClearBit(from) - 1;
            bytes += digits(from) + 1 + (to > from ? digits(to) + 1 : 0);
            from = done.nextSetBit(to + 1);
        }
        return bytes;
    }

    private static int digits(long number) {
        int digits = 1;
        for (long remaining = number / 10; remaining > 0; remaining /= 10) {
            digits++;
        }
        return digits;
    }
}
