package dewlane;

import dewlane.core.config.TestSettings;
import dewlane.core.controller.Controller;
import dewlane.core.job.JobMemory;
import dewlane.core.message.Input;
import dewlane.wire.StoredValueCodec;
import java.io.IOException;
import java.util.List;

/**
 * A process in which a controller's core lists the store twice, as it does after a start and whenever its watch falls
 * behind, and compares the estimate of the memory that the jobs take with the memory in use.
 */
final class StoredJobsReader {
    /** The exit code if all jobs were read, and take no more memory than estimated. */
    static final int READ_BACK = 0;
    /** The exit code if, moreover, no further job would be accepted. */
    static final int READ_BACK_BEYOND_LIMIT = 11;

    private static final int UNDERESTIMATED = 10;
    private static final int PAGE_JOBS = 200;
    private static final long TICK_MS = 1100;

    private final Controller controller =
            new Controller(TestSettings.singleController(), 1, value -> StoredValueCodec.encode(value).length);
    private final StoredJobs jobs;
    private long nowMs;

    private StoredJobsReader(StoredJobs jobs) {
        this.jobs = jobs;
    }

    /** Takes the arguments that {@link StoredJobs.Shape#toArguments} returns. */
    public static void main(String[] arguments) throws IOException {
        StoredJobsReader reader = new StoredJobsReader(new StoredJobs(StoredJobs.Shape.fromArguments(arguments)));
        reader.list(reader.jobs.begin());
        long emptyBytes = usedBytes();
        for (int listing = 0; listing < 2; listing++) {
            reader.list(reader.jobs.end());
        }
        reader.handle(new Input.Tick());
        long bytes = usedBytes() - emptyBytes;
        long estimate = reader.controller.jobMemoryBytes();
        System.out.println(String.join(" ", arguments) + ": " + (reader.jobs.end() - reader.jobs.begin())
                + " jobs take " + bytes + " bytes, estimated " + estimate + " of " + JobMemory.MAX_BYTES);
        int readBack = estimate > JobMemory.MAX_BYTES ? READ_BACK_BEYOND_LIMIT : READ_BACK;
        System.exit(bytes <= estimate ? readBack : UNDERESTIMATED);
    }

    private void list(int end) throws IOException {
        for (int from = jobs.begin(); from < end; from += PAGE_JOBS) {
            handle(new Input.StorePageListed(jobs.rows(from, Math.min(from + PAGE_JOBS, end))));
        }
        handle(new Input.StoreListed(List.of(), 1, 1));
    }

    private void handle(Input input) {
        nowMs += TICK_MS;
        controller.handle(nowMs, nowMs, input);
    }

    private static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
