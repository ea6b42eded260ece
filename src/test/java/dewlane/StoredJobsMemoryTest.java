package dewlane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** What a controller with the memory of the deploy file must be able to read back from the store. */
class StoredJobsMemoryTest {
    private static void assertCanBeReadBack(StoredJobs.Shape shape) throws Exception {
        assertEquals(
                StoredJobsReader.READ_BACK,
                TestProcess.run(TestProcess.deployedOptions(), StoredJobsReader.class, shape.toArguments()));
    }

    /**
     * Guards against controllers that run out of memory, and again after each restart, because of jobs that each await
     * the same hundreds of others.
     */
    @Test
    void jobsThatAwaitTheSameJobsFitIntoMemory() throws Exception {
        assertCanBeReadBack(new StoredJobs.Shape(1300, false, 2000, 1300, 0));
    }

    /** Guards against a cost of each awaited job that depends on how many jobs await it. */
    @Test
    void jobsThatAwaitJobsOfTheirOwnFitIntoMemory() throws Exception {
        assertCanBeReadBack(new StoredJobs.Shape(20_000, false, 3000, 300, 0));
    }
}
