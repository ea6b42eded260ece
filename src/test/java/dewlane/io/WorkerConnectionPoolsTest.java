package dewlane.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioWorker;

/**
 * Guards against exceeding the socket limit: a controller that had sent commands to all machines kept two connections
 * to each, which together with the heartbeat connections exceeded the limit.
 */
class WorkerConnectionPoolsTest {
    private static final int MAX_POOLS = 10;

    private final LinkedBlockingQueue<HttpServerExchange> held = new LinkedBlockingQueue<>();
    private Undertow machines;
    private int port;
    private XnioWorker worker;
    private WorkerConnectionPools pools;

    /** One listener serves all machines, each at a different loopback address. */
    @BeforeEach
    void start() throws Exception {
        machines = Undertow.builder()
                .addHttpListener(0, "0.0.0.0")
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(exchange -> {
                    if (exchange.getRequestPath().equals("/hold")) {
                        exchange.dispatch(() -> held.add(exchange));
                    } else {
                        exchange.getResponseSender().send("{}");
                    }
                })
                .build();
        machines.start();
        port = ((InetSocketAddress) machines.getListenerInfo().get(0).getAddress()).getPort();
        worker = TestWorkers.withOneThread();
        pools = new WorkerConnectionPools(worker.getIoThread(), new DefaultByteBufferPool(false, 1024), MAX_POOLS);
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
        machines.stop();
    }

    private String address(int machine) {
        return "127.0.0." + (machine + 1) + ":" + port;
    }

    /** Sends on the I/O thread, as the pools require; returns the answer's status, or null if nothing was sent. */
    private CompletableFuture<Integer> send(int machine, String path) throws Exception {
        CompletableFuture<CompletableFuture<Integer>> sent = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            CompletableFuture<Integer> status = new CompletableFuture<>();
            boolean accepted = pools.send(address(machine), path, new byte[0], (s, body) -> status.complete(s));
            sent.complete(accepted ? status : null);
        });
        return sent.get();
    }

    @Test
    void connectionPoolsForAnyNumberOfMachinesStayWithinBound() throws Exception {
        for (int machine = 0; machine < 5 * MAX_POOLS; machine++) {
            assertEquals(200, send(machine, "/do").get());
            assertTrue(pools.size() <= MAX_POOLS, pools.size() + " pools");
        }
        assertEquals(MAX_POOLS, pools.size());
    }

    @Test
    void commandWithoutFreeConnectionIsNotSentAndNextOneIs() throws Exception {
        List<CompletableFuture<Integer>> waiting = new ArrayList<>();
        for (int machine = 0; machine < MAX_POOLS; machine++) {
            waiting.add(send(machine, "/hold"));
        }
        assertEquals(null, send(MAX_POOLS, "/do"));
        HttpServerExchange first = held.take();
        assertFalse(waiting.stream().anyMatch(CompletableFuture::isDone));
        first.getResponseSender().send("{}");
        CompletableFuture.anyOf(waiting.toArray(CompletableFuture[]::new)).get();
        assertEquals(200, send(MAX_POOLS, "/do").get());
    }
}
