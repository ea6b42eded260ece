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
 * Persistent connections to one address, one request at a time on each. Used on the I/O thread only. A call that times
 * out closes its connection and is told that no answer came; the request may still be carried out.
 */
final class HttpConnectionPool {
    /** Stands for a status where no answer came. */
    static final int NO_ANSWER = -1;

    /** Told the status and body, or {@link #NO_ANSWER}. */
    interface Callback {
        void answered(int status, byte[] body);
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
                    idle.push(connection);
                } else {
                    open--;
                    IoUtils.safeClose(connection);
                }
            }
            try {
                callback.answered(status, answer);
            } finally {
                startWaiting();
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
    private final Deque<ClientConnection> idle = new ArrayDeque<>();
    private final Deque<Call> waiting = new ArrayDeque<>();
    /** Connections that are open or being opened. */
    private int open;

    private int pendingCalls;
    private int connecting;
    private long usedAtNanos = System.nanoTime();
    private boolean closed;

    HttpConnectionPool(XnioIoThread thread, ByteBufferPool buffers, String address, int maxConnections) {
        this.thread = thread;
        this.buffers = buffers;
        this.address = address;
        this.uri = URI.create("http://" + address);
        this.maxConnections = maxConnections;
    }

    /** Sends a request as soon as a connection is free; the callback is told its answer, once. */
    void send(HttpString method, String path, byte[] body, long timeoutMs, Callback callback) {
        Call call = new Call(method, path, body, callback);
        call.timer = thread.executeAfter(() -> call.fail(), timeoutMs, TimeUnit.MILLISECONDS);
        waiting.add(call);
        pendingCalls++;
        usedAtNanos = System.nanoTime();
        startWaiting();
    }

    /**
     * True while a call is in flight or waits, or a connection is being opened: to a host without power that lasts long
     * after the call is completed, and holds a socket.
     */
    boolean isBusy() {
        return pendingCalls > 0 || connecting > 0;
    }

    /** Milliseconds since the latest call began. */
    long idleMs() {
        return (System.nanoTime() - usedAtNanos) / NANOS_PER_MS;
    }

    /** Closes idle connections; calls in flight end as they would. */
    void close() {
        closed = true;
        idle.forEach(IoUtils::safeClose);
        open -= idle.size();
        idle.clear();
    }

    private void startWaiting() {
        while (!waiting.isEmpty() && waiting.peek().completed) {
            waiting.poll();
        }
        while (!waiting.isEmpty()) {
            ClientConnection kept = idle.poll();
            if (kept != null && !kept.isOpen()) {
                open--;
                continue;
            }
            if (kept == null && open >= maxConnections) {
                return;
            }
            Call call = waiting.poll();
            if (call.completed) {
                if (kept != null) {
                    idle.push(kept);
                }
                continue;
            }
            if (kept != null) {
                start(call, kept);
            } else {
                open++;
                connect(call);
            }
        }
    }

    private void connect(Call call) {
        connecting++;
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<ClientConnection>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                connecting--;
                                if (call.completed && closed) {
                                    open--;
                                    IoUtils.safeClose(connection);
                                } else if (call.completed) {
                                    idle.push(connection);
                                    startWaiting();
                                } else {
                                    start(call, connection);
                                }
                            }

                            @Override
                            public void failed(IOException e) {
                                connecting--;
                                open--;
                                call.fail();
                                startWaiting();
                            }
                        },
                        uri,
                        thread,
                        buffers,
                        OptionMap.EMPTY);
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
                        readResponse(call, answered);
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
                // The connection is free only after the exchange's own end is processed.
                body -> thread.execute(() -> call.complete(status, body, reusable)),
                call::fail);
    }
}
