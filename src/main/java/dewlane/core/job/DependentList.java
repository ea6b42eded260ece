package dewlane.core.job;

import java.util.AbstractCollection;
import java.util.Arrays;
import java.util.Iterator;
import java.util.NoSuchElementException;

/**
 * The jobs that depend on one job, in the order in which they were added. Takes four to six bytes of an array for each
 * of them. Removed jobs are skipped at once, and leave the array in batches, so that the removal of all dependents
 * takes a time that is linear in their number.
 */
final class DependentList extends AbstractCollection<DependentJob> {
    private static final DependentJob[] NONE = {};

    private DependentJob[] jobs = NONE;
    /** The number of array elements in use, removed jobs included. */
    private int used;
    /** The number of jobs that are not removed. */
    private int size;

    @Override
    public boolean add(DependentJob job) {
        if (used == jobs.length) {
            jobs = Arrays.copyOf(jobs, used + used / 2 + 1);
        }
        jobs[used] = job;
        used++;
        size++;
        return true;
    }

    /** Called when one of the jobs has been removed from the graph; called as often as it was added. */
    void onRemoved() {
        size--;
        if (used > 2 * size) {
            compact();
        }
    }

    private void compact() {
        int kept = 0;
        for (int i = 0; i < used; i++) {
            if (!jobs[i].isRemoved()) {
                jobs[kept] = jobs[i];
                kept++;
            }
        }
        used = kept;
        jobs = kept == 0 ? NONE : Arrays.copyOf(jobs, kept);
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public Iterator<DependentJob> iterator() {
        return new Iterator<>() {
            private int next = skipRemoved(0);

            @Override
            public boolean hasNext() {
                return next < used;
            }

            @Override
            public DependentJob next() {
                if (!hasNext()) {
                    throw new NoSuchElementException();
                }
                DependentJob job = jobs[next];
                next = skipRemoved(next + 1);
                return job;
            }
        };
    }

    private int skipRemoved(int from) {
        int index = from;
        while (index < used && jobs[index].isRemoved()) {
            index++;
        }
        return index;
    }
}
