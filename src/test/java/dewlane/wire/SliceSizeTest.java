package dewlane.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.job.SliceSizes;
import dewlane.core.model.Attempt;
import dewlane.core.schema.StoredValue.Slice;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares the bound of a slice's size with its encoded size, for random slices and outcomes. */
class SliceSizeTest {
    private final SplittableRandom random = new SplittableRandom(5);

    private Slice slice(int count, int maxAttempts) {
        BitSet done = new BitSet();
        List<Attempt> attempts = new ArrayList<>();
        int launches = 1 + random.nextInt(40);
        for (int task = 0; task < count; task++) {
            if (attempts.size() < maxAttempts && random.nextInt(3) > 0) {
                int number = 1 + random.nextInt(launches);
                int machine = random.nextInt(1 + maxAttempts / 3);
                attempts.add(new Attempt(
                        1000 + task,
                        number,
                        "vm-" + String.format("%06d", machine),
                        1 + machine % 12,
                        ((70L + machine % 9) << 20) + machine % 5,
                        1_764_668_440_000L + number));
            } else if (random.nextBoolean()) {
                done.set(task);
            }
        }
        return new Slice("cask-" + random.nextInt(20), 1000, count, launches, done, attempts);
    }

    @Test
    void sliceStaysWithinItsBoundThroughAllOutcomes() {
        for (int round = 0; round < 400; round++) {
            Slice slice = slice(1 + random.nextInt(600), random.nextInt(200));
            int bound = SliceSizes.bound(slice);
            while (true) {
                int bytes = StoredValueCodec.encode(slice).length;
                assertTrue(bytes <= bound, bytes + " bytes, bound " + bound);
                assertTrue(SliceSizes.bound(slice) <= bound, "the bound must not grow");
                if (slice.attempts().isEmpty()) {
                    break;
                }
                slice = afterSomeOutcomes(slice);
            }
        }
    }

    private Slice afterSomeOutcomes(Slice slice) {
        BitSet done = (BitSet) slice.done().clone();
        List<Attempt> left = new ArrayList<>();
        for (Attempt attempt : slice.attempts()) {
            int outcome = random.nextInt(4);
            if (outcome == 0) {
                done.set(attempt.task() - slice.first());
            } else if (outcome > 1) {
                left.add(attempt);
            }
        }
        return new Slice(slice.owner(), slice.first(), slice.count(), slice.launchCount(), done, left);
    }

    @Test
    void splitSliceKeepsAllAttemptsAndDoneTasksAndFits() {
        for (int round = 0; round < 200; round++) {
            Slice slice = slice(1 + random.nextInt(900), random.nextInt(400));
            List<Slice> parts = SliceSizes.split(slice, 2048);
            int next = slice.first();
            List<Attempt> attempts = new ArrayList<>();
            BitSet done = new BitSet();
            for (Slice part : parts) {
                assertEquals(next, part.first());
                next += part.count();
                attempts.addAll(part.attempts());
                int offset = part.first() - slice.first();
                part.done().stream().forEach(task -> done.set(task + offset));
                assertEquals(slice.launchCount(), part.launchCount());
                assertTrue(StoredValueCodec.encode(part).length <= 2048);
            }
            assertEquals(slice.first() + slice.count(), next);
            assertEquals(slice.attempts(), attempts);
            assertEquals(slice.done(), done);
        }
    }
}
