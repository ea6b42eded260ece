package dewlane.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import dewlane.core.config.TestSettings;
import dewlane.core.message.Input;
import dewlane.core.schema.Transaction;
import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioWorker;

/** Each request to the store has exactly one result, whatever the store answers. */
class StoreClientTest {
    private static final long RESULT_TIMEOUT_S = 10;
    private static final int PAGES = 40;

    private record Answer(int status, String body) {}

    private final LinkedBlockingQueue<Input> results = new LinkedBlockingQueue<>();
    private final Queue<Answer> answers = new ArrayDeque<>();
    private Undertow store;
    private XnioWorker worker;
    private StoreClient client;

    @BeforeEach
    void start() throws Exception {
        store = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(this::answer)
                .build();
        store.start();
        int port = ((InetSocketAddress) store.getListenerInfo().get(0).getAddress()).getPort();
        worker = TestWorkers.withOneThread();
        client = new StoreClient(
                worker.getIoThread(),
                new DefaultByteBufferPool(false, 1024),
                "127.0.0.1:" + port,
                TestSettings.singleController(),
                results::add);
    }

    private synchronized void answer(HttpServerExchange exchange) {
        Answer answer = answers.size() > 1 ? answers.poll() : answers.peek();
        exchange.setStatusCode(answer.status());
        exchange.getResponseSender().send(answer.body());
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
        store.stop();
    }

    private Input resultOf(Consumer<StoreClient> request) throws InterruptedException {
        worker.getIoThread().execute(() -> request.accept(client));
        Input result = results.poll(RESULT_TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(result, "the request has no result");
        return result;
    }

    /** Guards against chains of requests that end for ever with an answer that cannot be parsed. */
    @Test
    void answersThatAreNotJsonCountAsFailures() throws Exception {
        answers.add(new Answer(200, "{\"log\":[{"));
        Transaction transaction = new Transaction.Builder().build();
        assertEquals(new Input.WatchFailed(7, false), resultOf(store -> store.watch(7, 1)));
        assertEquals(new Input.StoreListFailed(), resultOf(StoreClient::list));
        assertEquals(
                new Input.TransactionCompleted(3, Transaction.Status.UNKNOWN, 0),
                resultOf(store -> store.commit(3, transaction)));
        assertEquals(new Input.ValueReadFailed(4), resultOf(store -> store.read(4, "dewlane/final/wk-1")));
        assertEquals(new Input.LeaseGrantFailed(), resultOf(store -> store.grantLease(1000)));
        answers.add(new Answer(404, "not JSON"));
        answers.poll();
        assertEquals(new Input.RevisionReadFailed(), resultOf(StoreClient::readRevision));
    }

    /**
     * Guards against a listing that never ends: with one refusal among the requests for its pages, it began again from
     * the first one.
     */
    @Test
    void refusedPageOfListingIsRequestedAgain() throws Exception {
        for (int page = 0; page < PAGES; page++) {
            answers.add(page(page, page < PAGES - 1));
            if (page % 10 == 5) {
                answers.add(new Answer(429, "{}"));
            }
        }
        List<Input.StoreRow> rows = new ArrayList<>();
        Input result = resultOf(StoreClient::list);
        while (result instanceof Input.StorePageListed page) {
            rows.addAll(page.rows());
            result = results.poll(RESULT_TIMEOUT_S, TimeUnit.SECONDS);
        }
        Input.StoreListed listed = assertInstanceOf(Input.StoreListed.class, result);
        rows.addAll(listed.rows());
        assertEquals(100, listed.revision(), "the revision of the first page");
        assertEquals(100 + PAGES - 1, listed.latestRevision());
        assertEquals(
                IntStream.range(0, PAGES).mapToObj(StoreClientTest::key).toList(),
                rows.stream().map(Input.StoreRow::key).collect(Collectors.toList()));
    }

    /**
     * Guards against a controller that runs out of memory over the answer to its watch, which has no size limit, when
     * it has fallen behind: the store is listed instead.
     */
    @Test
    void changesThatAreTooLargeToReadLeadToListing() throws Exception {
        String padding = "x".repeat(HttpConnectionPool.MAX_ANSWER_BYTES);
        answers.add(new Answer(200, "{\"log\":[],\"ledger\":1,\"padding\":\"" + padding + "\"}"));
        assertEquals(new Input.WatchFailed(7, true), resultOf(store -> store.watch(7, 1)));
        answers.add(new Answer(200, "{\"log\":[],\"ledger\":9}"));
        answers.poll();
        assertEquals(new Input.WatchEvents(8, List.of(), 9), resultOf(store -> store.watch(8, 1)));
    }

    /** Guards against retries that hide an outage: nothing has been read yet, so nothing is lost by failing. */
    @Test
    void refusedFirstPageFailsTheListing() throws Exception {
        answers.add(new Answer(503, "{}"));
        assertEquals(new Input.StoreListFailed(), resultOf(StoreClient::list));
    }

    private static Answer page(int page, boolean more) {
        String row = "{\"key\":\"" + key(page) + "\",\"value\":{},\"entry\":" + (page + 1) + "}";
        return new Answer(200, "{\"rows\":[" + row + "],\"more\":" + more + ",\"ledger\":" + (100 + page) + "}");
    }

    private static String key(int page) {
        return "dewlane/job/wk-" + (1000 + page);
    }
}
