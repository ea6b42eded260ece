package dewlane.io;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Persistent connections to one address, with one request at a time on each. Used on the I/O thread only. A call that
 * times out closes the connection on which it was sent, and completes with {@link #NO_ANSWER}; the request may still be
 * carried out.
 */
final class HttpConnectionPool {
    /** The status of a call that received no answer. */
    static final int NO_ANSWER = -1;

    /** The status of a call whose answer was discarded, as it is larger than {@link #MAX_ANSWER_BYTES}. */
    static final int ANSWER_TOO_LARGE = -2;
    /** The size up to which answers are read: eight times that of the largest page of a listing of the store. */
    static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

    /** Called with the status and body of the answer, or with a negative status and no body. */
    interface Callback {
        void onCompleted(int status, byte[] body);
    }

    private final class Call {
        final HttpString method;
        final String path;
        final byte[] body;
        final Callback callback;
        XnioExecutor.Key timer;
        ClientConnection connection;
        boolean completed;

        Call(HttpString method, String path, byte[] body, Callback callback) {
            this.method = method;
            this.path = path;
            this.body = body;
            this.callback = callback;
        }

        void complete(int status, byte[] answer, boolean reusable) {
            if (completed) {
                return;
            }
            completed = true;
            pendingCalls--;
            timer.remove();
            if (connection != null) {
                if (reusable && connection.isOpen() && !closed) {
                    idleConnections.push(connection);
                } else {
                    openConnections--;
                    IoUtils.safeClose(connection);
                }
            }
            try {
                callback.onCompleted(status, answer);
            } finally {
                startQueuedCalls();
            }
        }

        void fail() {
            complete(NO_ANSWER, NO_BODY, false);
        }
    }

    private static final byte[] NO_BODY = {};
    private static final long NANOS_PER_MS = 1_000_000;

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final String address;
    private final URI uri;
    private final int maxConnections;
    private final Deque<ClientConnection> idleConnections = new ArrayDeque<>();
    private final Deque<Call> queuedCalls = new ArrayDeque<>();
    /** Connections that are open or being opened. */
    private int openConnections;

    private int pendingCalls;
    private int connectionsBeingOpened;
    private long lastCallAtNanos = System.nanoTime();
    private boolean closed;

    HttpConnectionPool(XnioIoThread thread, ByteBufferPool buffers, String address, int maxConnections) {
        this.thread = thread;
        this.buffers = buffers;
        this.address = address;
        this.uri = URI.create("http://" + address);
        this.maxConnections = maxConnections;
    }

    /** Sends a request as soon as a connection is free; the callback is called once. */
    void send(HttpString method, String path, byte[] body, long timeoutMs, Callback callback) {
        Call call = new Call(method, path, body, callback);
        call.timer = thread.executeAfter(FatalErrors.guard(call::fail), timeoutMs, TimeUnit.MILLISECONDS);
        queuedCalls.add(call);
        pendingCalls++;
        lastCallAtNanos = System.nanoTime();
        startQueuedCalls();
    }

    /**
     * Returns true while a call is queued or in flight, or a connection is being opened. Connecting to a host that is
     * powered off goes on long after the call has timed out, and holds a socket.
     */
    boolean isBusy() {
        return pendingCalls > 0 || connectionsBeingOpened > 0;
    }

    /** Returns the milliseconds since the latest call to {@link #send}. */
    long idleMs() {
        return (System.nanoTime() - lastCallAtNanos) / NANOS_PER_MS;
    }

    /** Closes idle connections. Calls in flight are not interrupted; their connections are closed when they end. */
    void close() {
        closed = true;
        idleConnections.forEach(IoUtils::safeClose);
        openConnections -= idleConnections.size();
        idleConnections.clear();
    }

    private void startQueuedCalls() {
        while (!queuedCalls.isEmpty() && queuedCalls.peek().completed) {
            queuedCalls.poll();
        }
        while (!queuedCalls.isEmpty()) {
            ClientConnection reused = idleConnections.poll();
            if (reused != null && !reused.isOpen()) {
                openConnections--;
                continue;
            }
            if (reused == null && openConnections >= maxConnections) {
                return;
            }
            Call call = queuedCalls.poll();
            if (call.completed) {
                if (reused != null) {
                    idleConnections.push(reused);
                }
                continue;
            }
            if (reused != null) {
                start(call, reused);
            } else {
                openConnections++;
                connect(call);
            }
        }
    }

    private void connect(Call call) {
        connectionsBeingOpened++;
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<ClientConnection>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                FatalErrors.run(() -> onConnected(call, connection));
                            }

                            @Override
                            public void failed(IOException e) {
                                FatalErrors.run(() -> onConnectFailed(call));
                            }
                        },
                        uri,
                        thread,
                        buffers,
                        OptionMap.EMPTY);
    }

    private void onConnected(Call call, ClientConnection connection) {
        connectionsBeingOpened--;
        if (call.completed && closed) {
            openConnections--;
            IoUtils.safeClose(connection);
        } else if (call.completed) {
            idleConnections.push(connection);
            startQueuedCalls();
        } else {
            start(call, connection);
        }
    }

    private void onConnectFailed(Call call) {
        connectionsBeingOpened--;
        openConnections--;
        call.fail();
        startQueuedCalls();
    }

    private void start(Call call, ClientConnection connection) {
        call.connection = connection;
        ClientRequest request = new ClientRequest().setMethod(call.method).setPath(call.path);
        request.getRequestHeaders().put(Headers.HOST, address);
        if (call.body != null) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body.length);
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        }
        connection.sendRequest(request, new ClientCallback<ClientExchange>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(new ClientCallback<ClientExchange>() {
                    @Override
                    public void completed(ClientExchange answered) {
                        FatalErrors.run(() -> readResponse(call, answered));
                    }

                    @Override
                    public void failed(IOException e) {
                        call.fail();
                    }
                });
                if (call.body != null) {
                    HttpBodies.write(exchange.getRequestChannel(), call.body, call::fail);
                }
            }

            @Override
            public void failed(IOException e) {
                call.fail();
            }
        });
    }

    private void readResponse(Call call, ClientExchange exchange) {
        ClientResponse response = exchange.getResponse();
        boolean reusable =
                !"close".equalsIgnoreCase(response.getResponseHeaders().getFirst(Headers.CONNECTION));
        int status = response.getResponseCode();
        HttpBodies.read(
                exchange.getResponseChannel(),
                MAX_ANSWER_BYTES,
                // The connection can be reused only after Undertow has processed the end of this exchange.
                body -> thread.execute(FatalErrors.guard(() -> call.complete(status, body, reusable))),
                () -> call.complete(ANSWER_TOO_LARGE, NO_BODY, false),
                call::fail);
    }
}
