package dewlane.io;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Kept-open connections to one address, one request at a time on each. All of it runs on one I/O thread. A call whose
 * time runs out closes its connection and is told that no answer came; the request may still be carried out.
 */
final class HttpConnectionPool {
    /** No answer came. */
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
        boolean over;

        Call(HttpString method, String path, byte[] body, Callback callback) {
            this.method = method;
            this.path = path;
            this.body = body;
            this.callback = callback;
        }

        void end(int status, byte[] answer, boolean reusable) {
            if (over) {
                return;
            }
            over = true;
            calls--;
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
                next();
            }
        }
    }

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final String address;
    private final URI uri;
    private final int most;
    private final Deque<ClientConnection> idle = new ArrayDeque<>();
    private final Deque<Call> waiting = new ArrayDeque<>();
    private int open;
    private int calls;
    private int connecting;
    private long usedAt = System.nanoTime();
    private boolean closed;

    HttpConnectionPool(XnioIoThread thread, ByteBufferPool buffers, String address, int most) {
        this.thread = thread;
        this.buffers = buffers;
        this.address = address;
        this.uri = URI.create("http://" + address);
        this.most = most;
    }

    void send(HttpString method, String path, byte[] body, long timeoutMs, Callback callback) {
        Call call = new Call(method, path, body, callback);
        call.timer =
                thread.executeAfter(() -> call.end(NO_ANSWER, new byte[0], false), timeoutMs, TimeUnit.MILLISECONDS);
        waiting.add(call);
        calls++;
        usedAt = System.nanoTime();
        next();
    }

    /**
     * True while a call is under way or waits, or a connection is being opened: to a host without power that lasts long
     * after the call is over, and holds a socket.
     */
    boolean busy() {
        return calls > 0 || connecting > 0;
    }

    /** Milliseconds since the latest call began. */
    long idleMs() {
        return (System.nanoTime() - usedAt) / 1_000_000;
    }

    /** Closes idle connections; calls under way end as they would. */
    void close() {
        closed = true;
        idle.forEach(IoUtils::safeClose);
        open -= idle.size();
        idle.clear();
    }

    private void next() {
        while (!waiting.isEmpty() && waiting.peek().over) {
            waiting.poll();
        }
        while (!waiting.isEmpty()) {
            ClientConnection kept = idle.poll();
            if (kept != null && !kept.isOpen()) {
                open--;
                continue;
            }
            if (kept == null && open >= most) {
                return;
            }
            Call call = waiting.poll();
            if (call.over) {
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
                                if (call.over && closed) {
                                    open--;
                                    IoUtils.safeClose(connection);
                                } else if (call.over) {
                                    idle.push(connection);
                                    next();
                                } else {
                                    start(call, connection);
                                }
                            }

                            @Override
                            public void failed(IOException e) {
                                connecting--;
                                open--;
                                call.end(NO_ANSWER, new byte[0], false);
                                next();
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
                        boolean stays = !"close"
                                .equalsIgnoreCase(answered.getResponse()
                                        .getResponseHeaders()
                                        .getFirst(Headers.CONNECTION));
                        read(call, answered.getResponse().getResponseCode(), answered.getResponseChannel(), stays);
                    }

                    @Override
                    public void failed(IOException e) {
                        call.end(NO_ANSWER, new byte[0], false);
                    }
                });
                if (call.body != null) {
                    write(call, exchange.getRequestChannel(), ByteBuffer.wrap(call.body));
                }
            }

            @Override
            public void failed(IOException e) {
                call.end(NO_ANSWER, new byte[0], false);
            }
        });
    }

    private void write(Call call, StreamSinkChannel channel, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (channel.write(body) == 0) {
                    channel.getWriteSetter().set(c -> write(call, c, body));
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            if (!channel.flush()) {
                channel.getWriteSetter().set(c -> write(call, c, body));
                channel.resumeWrites();
            } else {
                channel.suspendWrites();
            }
        } catch (IOException e) {
            call.end(NO_ANSWER, new byte[0], false);
        }
    }

    private void read(Call call, int status, StreamSourceChannel channel, boolean reusable) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        ByteBuffer buffer = ByteBuffer.allocate(8192);
        channel.getReadSetter().set(c -> drain(call, status, c, bytes, buffer, reusable));
        drain(call, status, channel, bytes, buffer, reusable);
    }

    private void drain(
            Call call,
            int status,
            StreamSourceChannel channel,
            ByteArrayOutputStream bytes,
            ByteBuffer buffer,
            boolean reusable) {
        try {
            while (true) {
                buffer.clear();
                int n = channel.read(buffer);
                if (n == 0) {
                    channel.resumeReads();
                    return;
                }
                if (n < 0) {
                    channel.suspendReads();
                    // The connection is free only after the exchange's own end is processed.
                    thread.execute(() -> call.end(status, bytes.toByteArray(), reusable));
                    return;
                }
                bytes.write(buffer.array(), 0, n);
            }
        } catch (IOException e) {
            call.end(NO_ANSWER, new byte[0], false);
        }
    }
}
