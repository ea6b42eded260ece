package dewlane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a controller with the memory of the deploy file must be able to read back from the store. */
class StoredJobsMemoryTest {
    /** A quarter of the deploy file's heap is left for machines, connections and what is being read from them. */
    private static final String HEAP_FOR_JOBS = "-Xmx96m";

    private static int readBack(StoredJobs.Shape shape, String... furtherOptions) throws Exception {
        List<String> options = new ArrayList<>(TestProcess.deployedOptions());
        options.addAll(List.of(furtherOptions));
        return TestProcess.run(options, StoredJobsReader.class, shape.toArguments());
    }

    /**
     * Guards against controllers that run out of memory, and again after each restart, because of jobs that each await
     * the same hundreds of others.
     */
    @Test
    void jobsThatAwaitTheSameJobsFitIntoMemory() throws Exception {
        assertEquals(StoredJobsReader.READ_BACK, readBack(new StoredJobs.Shape(1300, false, 2000, 1300, 0)));
    }

    /** Guards against a cost of each awaited job that depends on how many jobs await it. */
    @Test
    void jobsThatAwaitJobsOfTheirOwnFitIntoMemory() throws Exception {
        assertEquals(StoredJobsReader.READ_BACK, readBack(new StoredJobs.Shape(20_000, false, 3000, 300, 0)));
    }

    /**
     * Guards against accepted jobs that no controller can read back: jobs of several kinds, somewhat more than are
     * accepted, are listed twice, and the estimate for them covers the memory that they take.
     */
    @ParameterizedTest
    @CsvSource({
        "0, false, 47000, 0, 0",
        "1300, false, 5000, 1300, 0",
        "30000, false, 5750, 300, 0",
        "162000, true, 1620, 100, 0",
        "0, false, 23000, 0, 5"
    })
    void jobsBeyondTheLimitCanBeReadBack(int first, boolean ended, int last, int dependencies, int attempts)
            throws Exception {
        StoredJobs.Shape shape = new StoredJobs.Shape(first, ended, last, dependencies, attempts);
        assertEquals(StoredJobsReader.READ_BACK_BEYOND_LIMIT, readBack(shape, HEAP_FOR_JOBS));
    }
}
