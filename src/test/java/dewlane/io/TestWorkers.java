package dewlane.io;

import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Workers of XNIO with one I/O thread, as a controller has. */
final class TestWorkers {
    private TestWorkers() {}

    /** Returns a new worker, which the caller shuts down. */
    static XnioWorker withOneThread() throws IOException {
        return Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .getMap());
    }
}
