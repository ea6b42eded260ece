package dewlane.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.util.StatusCodes;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Bodies that arrive from users take a bounded amount of memory, however many users stop sending in their middle. */
class BodyBudgetTest {
    private static final int MAX_BODIES = 4;
    private static final long LONG_TIMEOUT_MS = 60_000;
    private static final long SHORT_TIMEOUT_MS = 300;
    private static final int SOCKET_TIMEOUT_MS = 10_000;
    private static final String LARGE = "Content-Length: " + HttpExchanges.MAX_BODY_BYTES;
    private static final String CHUNKED = "Transfer-Encoding: chunked";

    private final List<Socket> sockets = new ArrayList<>();
    private BodyBudget budget;
    private Undertow server;

    private void start(long receiveTimeoutMs) {
        budget = new BodyBudget(MAX_BODIES * HttpExchanges.MAX_BODY_BYTES, receiveTimeoutMs);
        server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(exchange -> budget.readBody(
                        exchange, (received, body) -> HttpExchanges.send(received, StatusCodes.OK, new byte[0])))
                .build();
        server.start();
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        server.stop();
    }

    /** Opens a connection and sends the beginning of a request. */
    private Socket send(String lengthHeader, String body) throws IOException {
        Socket socket = new Socket();
        socket.connect(server.getListenerInfo().get(0).getAddress());
        sockets.add(socket);
        socket.setSoTimeout(SOCKET_TIMEOUT_MS);
        String request = "POST / HTTP/1.1\r\nHost: x\r\n" + lengthHeader + "\r\n\r\n" + body;
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /** Returns the lines of the answer's header; empty if the connection was closed without an answer. */
    private static List<String> answer(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        List<String> lines = new ArrayList<>();
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            lines.add(line);
            line = reader.readLine();
        }
        return lines;
    }

    private static String status(Socket socket) throws IOException {
        List<String> lines = answer(socket);
        return lines.isEmpty() ? "" : lines.get(0);
    }

    /** Waits until the server has handled what was sent before: a request without a body is answered at once. */
    private void awaitHandled() throws IOException {
        assertTrue(status(send("Content-Length: 0", "")).contains("200"));
    }

    /** Guards against a heap exhausted by users who each have begun to send a large body. */
    @Test
    void bodyBeyondBudgetIsRefusedUntilOthersHaveArrived() throws IOException {
        start(LONG_TIMEOUT_MS);
        Socket unfinished = send(LARGE, "{");
        for (int i = 1; i < MAX_BODIES; i++) {
            send(i % 2 == 0 ? LARGE : CHUNKED, "");
        }
        awaitHandled();
        List<String> refusal = answer(send(LARGE, "{"));
        assertTrue(refusal.get(0).contains("503"), refusal.toString());
        assertTrue(refusal.stream().anyMatch(line -> line.startsWith("Retry-After: ")), refusal.toString());
        assertTrue(status(send("Accept: x", "")).contains("200"), "a request without a body, such as a cancellation");
        assertEquals(1, budget.refusedRequests());
        byte[] rest = "x".repeat(HttpExchanges.MAX_BODY_BYTES - 1).getBytes(StandardCharsets.US_ASCII);
        unfinished.getOutputStream().write(rest);
        assertTrue(status(unfinished).contains("200"));
        assertTrue(status(send("Content-Length: 1", "x")).contains("200"), "the budget is free again");
    }

    /** Guards against users who stop sending and so keep all others from submitting. */
    @Test
    void connectionWhoseBodyDoesNotArriveIsClosed() throws IOException {
        start(SHORT_TIMEOUT_MS);
        List<Socket> stalled = new ArrayList<>();
        for (int i = 0; i < MAX_BODIES; i++) {
            stalled.add(send(LARGE, "{"));
        }
        for (Socket socket : stalled) {
            assertEquals("", status(socket), "closed without an answer");
        }
        assertTrue(status(send("Content-Length: 1", "x")).contains("200"));
        assertEquals(0, budget.refusedRequests());
    }

    /** Guards against a budget that shrinks with each user who goes away. */
    @Test
    void bodyOfClosedConnectionIsReleased() throws Exception {
        start(LONG_TIMEOUT_MS);
        for (int i = 0; i < 3 * MAX_BODIES; i++) {
            Socket socket = send(LARGE, "{");
            awaitHandled();
            socket.close();
            Thread.sleep(20);
        }
        assertTrue(status(send("Content-Length: 1", "x")).contains("200"));
        assertEquals(0, budget.refusedRequests());
    }
}
