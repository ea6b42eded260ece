package dewlane.io;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewlane.TestProcess;
import dewlane.core.config.TestSettings;
import dewlane.core.message.Input;
import io.undertow.Undertow;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.DefaultByteBufferPool;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** A process ends when it runs out of memory, wherever that happens, instead of living on without serving. */
class FatalErrorsTest {
    private static final int SURVIVED = 17;
    private static final long SURVIVAL_MS = 5000;

    /** Guards against a process that lives on although one of its threads, of any library, found no memory. */
    @Test
    void heapExhaustedOnAnyThreadEndsProcess() throws Exception {
        assertEquals(FatalErrors.EXIT_CODE, TestProcess.run(TestProcess.deployedOptions(), HeapExhaustion.class));
    }

    /** Guards against an error that the networking library swallows, so that a watch or listing is never repeated. */
    @Test
    void errorWhileAnswerIsHandledEndsProcess() throws Exception {
        assertEquals(FatalErrors.EXIT_CODE, TestProcess.run(List.of(), ErrorInAnswerHandler.class, "answer"));
    }

    /** Guards against the end of a chain of timed tasks: the networking library swallows what a task throws. */
    @Test
    void errorInTimedTaskEndsProcess() throws Exception {
        assertEquals(FatalErrors.EXIT_CODE, TestProcess.run(List.of(), ErrorInAnswerHandler.class, "timer"));
    }

    /** Guards against connections that are lost in silence once direct memory is exhausted. */
    @Test
    void directMemoryExhaustedEndsProcess() throws Exception {
        List<String> options = List.of("-XX:MaxDirectMemorySize=256k");
        assertEquals(FatalErrors.EXIT_CODE, TestProcess.run(options, DirectMemoryExhaustion.class));
    }

    /** Fills the heap on a thread that swallows the error. */
    static final class HeapExhaustion {
        private static final int BLOCK_BYTES = 1 << 20;

        private HeapExhaustion() {}

        public static void main(String[] args) throws InterruptedException {
            Thread thread = new Thread(HeapExhaustion::exhaust);
            thread.start();
            thread.join();
            System.exit(SURVIVED);
        }

        private static void exhaust() {
            List<byte[]> blocks = new ArrayList<>();
            try {
                while (true) {
                    blocks.add(new byte[BLOCK_BYTES]);
                }
            } catch (OutOfMemoryError e) {
                System.err.println("swallowed after " + blocks.size() + " blocks: " + e);
            }
        }
    }

    /** Takes buffers from a controller's pool until there are none, and swallows the error. */
    static final class DirectMemoryExhaustion {
        private static final int BUFFER_BYTES = 8192;
        private static final int BUFFERS = 100;

        private DirectMemoryExhaustion() {}

        public static void main(String[] args) {
            ExitingBufferPool pool = new ExitingBufferPool(BUFFER_BYTES, 1);
            List<PooledByteBuffer> buffers = new ArrayList<>();
            try {
                for (int i = 0; i < BUFFERS; i++) {
                    buffers.add(pool.allocate());
                }
            } catch (OutOfMemoryError e) {
                System.err.println("swallowed after " + buffers.size() + " buffers: " + e);
            }
            System.exit(SURVIVED);
        }
    }

    /** Lists a store whose answer, or whose refusal after a pause, makes the core throw an error. */
    static final class ErrorInAnswerHandler {
        private ErrorInAnswerHandler() {}

        public static void main(String[] args) throws Exception {
            int status = args[0].equals("answer") ? 200 : 503;
            Undertow store = Undertow.builder()
                    .addHttpListener(0, "127.0.0.1")
                    .setIoThreads(1)
                    .setWorkerThreads(1)
                    .setHandler(exchange -> {
                        exchange.setStatusCode(status);
                        exchange.getResponseSender().send("{\"rows\":[],\"more\":false,\"ledger\":1}");
                    })
                    .build();
            store.start();
            int port = ((InetSocketAddress) store.getListenerInfo().get(0).getAddress()).getPort();
            XnioWorker worker = TestWorkers.withOneThread();
            XnioIoThread thread = worker.getIoThread();
            Consumer<Input> core = input -> {
                throw new OutOfMemoryError("injected");
            };
            StoreClient client = new StoreClient(
                    thread,
                    new DefaultByteBufferPool(false, 1024),
                    "127.0.0.1:" + port,
                    TestSettings.singleController(),
                    core);
            thread.execute(client::list);
            TimeUnit.MILLISECONDS.sleep(SURVIVAL_MS);
            System.exit(SURVIVED);
        }
    }
}
