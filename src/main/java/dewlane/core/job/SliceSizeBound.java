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
 * An upper bound of the bytes that a slice takes in the store, now and after any outcomes of its attempts: what a
 * launch leaves within the limit can be written again whatever becomes of it. Outcomes break up ranges of tasks, so
 * each attempt counts as two tasks that stand alone.
 */
public final class SliceSizeBound {
    /** Names of fields, quotes and brackets of a slice. */
    private static final int SLICE_OVERHEAD_BYTES = 64;
    /** Brackets and commas of one launch. */
    private static final int LAUNCH_OVERHEAD_BYTES = 5;
    /** Brackets, quotes and commas of one machine within a launch. */
    private static final int MACHINE_OVERHEAD_BYTES = 8;

    // What the entries of a slice take with names of usual length.
    private static final int TYPICAL_MACHINE_BYTES = 22;
    private static final int TYPICAL_TASK_BYTES = 8;
    private static final int TYPICAL_SLICE_BYTES = 220;

    /** The machine's entry within a launch; all attempts of the launch on that machine share it. */
    private record LaunchOnMachine(int number, String machine, long incarnation, long fencingToken) {
        static LaunchOnMachine of(Attempt attempt) {
            return new LaunchOnMachine(
                    attempt.number(), attempt.machine(), attempt.incarnation(), attempt.fencingToken());
        }
    }

    private final int attemptTaskBytes;
    /** The token of the first attempt of each launch, by launch number; others are stored as differences to it. */
    private final Map<Integer, Long> firstTokens = new HashMap<>();

    private final Set<LaunchOnMachine> machineEntries = new HashSet<>();
    private int totalBytes;

    /** The bound of the slice with its present attempts. */
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

    /** The bound in bytes for a slice as it is. */
    static int ofSlice(Slice slice) {
        return new SliceSizeBound(slice).totalBytes;
    }

    /**
     * How many tasks a slice may have so that it stays within the limit if all of them run at once.
     *
     * @param tasksPerMachine how many of them run on one machine
     * @return at least 1
     */
    public static int maxTasksPerSlice(int limitBytes, int tasksPerMachine) {
        int bytesPerMachine = TYPICAL_MACHINE_BYTES + tasksPerMachine * TYPICAL_TASK_BYTES;
        return Math.max(1, (limitBytes - TYPICAL_SLICE_BYTES) * tasksPerMachine / bytesPerMachine);
    }

    /** Counts one more attempt. */
    public void add(Attempt attempt) {
        totalBytes += bytesOf(attempt);
        firstTokens.putIfAbsent(attempt.number(), attempt.fencingToken());
        machineEntries.add(LaunchOnMachine.of(attempt));
    }

    /** True if the slice stays within the limit with one more attempt. */
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

    /** The bytes of the done marks, which are stored as ranges of tasks. */
    private static int doneBytes(BitSet done) {
        int sum = 0;
        for (int from = done.nextSetBit(0); from >= 0; ) {
            int to = done.nextClearBit(from) - 1;
            sum += digits(from) + 1 + (to > from ? digits(to) + 1 : 0);
            from = done.nextSetBit(to + 1);
        }
        return sum;
    }

    private static int digits(long number) {
        int digits = 1;
        for (long left = number / 10; left > 0; left /= 10) {
            digits++;
        }
        return digits;
    }
}
