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
 * An upper bound of the bytes that a slice takes in the state service, now and after any outcomes of its attempts: what
 * a launch leaves within the limit can be written again whatever becomes of it. Outcomes break up ranges of tasks, so
 * each attempt counts as two tasks that stand alone.
 */
public final class SliceSizeBound {
    /** Names of fields, quotes and brackets. */
    private static final int FRAME = 64;
    /** Brackets and commas of one launch, and of one machine within it. */
    private static final int LAUNCH_FRAME = 5;

    private static final int PLACE_FRAME = 8;
    /** What a machine's entry, a task and the rest of a slice typically take, with names of usual length. */
    private static final int TYPICAL_PLACE = 22;

    private static final int TYPICAL_TASK = 8;
    private static final int TYPICAL_FRAME = 220;

    private record Place(int number, String machine, long session, long token) {}

    private final int taskBytes;
    private final Map<Integer, Long> firstTokens = new HashMap<>();
    private final Set<Place> places = new HashSet<>();
    private int bytes;

    public SliceSizeBound(Slice slice) {
        taskBytes = 2 * (digits(slice.count()) + 1);
        bytes = FRAME
                + slice.owner().length()
                + digits(slice.first())
                + digits(slice.count())
                + digits(slice.launchCount() + 1L)
                + doneBytes(slice.done());
        if (!slice.unknown().equals(UnknownFields.NONE)) {
            bytes += 2 * slice.unknown().byName().toString().length();
        }
        slice.attempts().forEach(this::add);
    }

    /** The bound for a slice as it is. */
    static int ofSlice(Slice slice) {
        return new SliceSizeBound(slice).bytes;
    }

    /** Tasks of a job that a slice holds if all of them run at once, so many on a machine. */
    public static int tasksWithin(int limitBytes, int tasksPerMachine) {
        int perMachine = TYPICAL_PLACE + tasksPerMachine * TYPICAL_TASK;
        return Math.max(1, (limitBytes - TYPICAL_FRAME) * tasksPerMachine / perMachine);
    }

    /** Counts one more attempt. */
    public void add(Attempt attempt) {
        bytes += cost(attempt);
        firstTokens.putIfAbsent(attempt.number(), attempt.fencingToken());
        places.add(place(attempt));
    }

    /** True if the slice stays within the limit with one more attempt. */
    public boolean fits(Attempt attempt, int limitBytes) {
        return bytes + cost(attempt) <= limitBytes;
    }

    private int cost(Attempt attempt) {
        int cost = taskBytes;
        Long first = firstTokens.get(attempt.number());
        if (first == null) {
            cost += LAUNCH_FRAME
                    + digits(attempt.number())
                    + digits(attempt.launchedAtMs())
                    + digits(attempt.fencingToken());
            first = attempt.fencingToken();
        }
        if (!places.contains(place(attempt))) {
            cost += PLACE_FRAME
                    + attempt.machine().length()
                    + digits(attempt.incarnation())
                    + digits(Math.abs(attempt.fencingToken() - first));
        }
        return cost;
    }

    private static Place place(Attempt attempt) {
        return new Place(attempt.number(), attempt.machine(), attempt.incarnation(), attempt.fencingToken());
    }

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
