package dewlane.io;

import dewlane.core.config.Settings;
import dewlane.core.controller.Controller;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.Heartbeat;
import dewlane.wire.PeerProtocol;
import dewlane.wire.StoredValueCodec;
import dewlane.wire.UserProtocol;
import dewlane.wire.WorkerProtocol;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** One controller's sockets and timers round its core. Everything runs on one I/O thread, so nothing is locked. */
public final class ControllerServer {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerServer.class);
    private static final Logger CORE = LoggerFactory.getLogger(Controller.class);
    private static final long TICK_MS = 100;
    /** Users wait 5 s for an answer, and 2 s when they ask about a job. */
    private static final long USER_MS = 4500;

    private static final long POLL_MS = 1800;
    private static final long SUMMARY_MS = 60_000;
    private static final int MAX_PENDING = 500;
    private static final HttpString RETRY_AFTER = Headers.RETRY_AFTER;

    private record Asked(long id, long at) {}

    private final Settings settings;
    private final Endpoints endpoints;
    private final Controller controller;
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, 8192, 200, 0);
    private final StoreClient state;
    private final CloudClient cloud;
    private final WorkerConnectionPools workers;
    private final WorkerCommandClient commands;
    private final PeerClient peers;
    private final Long2ObjectOpenHashMap<HttpServerExchange> pending = new Long2ObjectOpenHashMap<>();
    /** Requests of users in the order in which they came; most are answered by the time it is looked at. */
    private final Deque<Asked> asked = new ArrayDeque<>();

    private final Deque<Asked> polled = new ArrayDeque<>();
    private final EffectQueue effects = new EffectQueue(this::act);
    private final long startedAt = System.nanoTime();
    private final Histogram userMs = new Histogram(60_000, 2);
    private Undertow server;
    private long nextId = 1;

    public ControllerServer(Settings settings, Endpoints endpoints, long seed) throws IOException {
        this.settings = settings;
        this.endpoints = endpoints;
        this.controller = new Controller(settings, seed, value -> StoredValueCodec.bytes(value).length);
        this.controller.logCommands(CORE.isDebugEnabled());
        this.worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.THREAD_DAEMON, false)
                        .getMap());
        this.thread = worker.getIoThread();
        this.state = new StoreClient(
                thread,
                buffers,
                endpoints.state(),
                settings.storeRequestsPerS(),
                settings.peers().size() + 1,
                this::accept);
        this.cloud = new CloudClient(thread, buffers, endpoints.cloud(), this::accept);
        this.workers = new WorkerConnectionPools(thread, buffers, endpoints.commands());
        this.commands = new WorkerCommandClient(workers, this::accept);
        this.peers = new PeerClient(thread, buffers, endpoints.peers().values());
    }

    /** Starts to listen and to take part. */
    public void start() {
        server = Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, endpoints.inbound())
                .setSocketOption(Options.CONNECTION_LOW_WATER, endpoints.inbound() - 1)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) HttpExchanges.MAX_BODY)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 120_000)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, 10_000)
                .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                .addListener(listener(endpoints.listen(), this::serve))
                .addListener(listener(endpoints.peerListen(), this::servePeer))
                .build();
        server.start();
        LOG.info("{} listens on {} and {}", settings.controllerName(), endpoints.listen(), endpoints.peerListen());
        thread.execute(this::tick);
        thread.executeAfter(this::summarise, SUMMARY_MS, TimeUnit.MILLISECONDS);
    }

    /** Stops; only tests and the warm-up do. */
    public void stop() {
        server.stop();
        worker.shutdownNow();
    }

    private static Undertow.ListenerBuilder listener(String address, HttpHandler handler) {
        int colon = address.lastIndexOf(':');
        return new Undertow.ListenerBuilder()
                .setType(Undertow.ListenerType.HTTP)
                .setHost(address.substring(0, colon))
                .setPort(Integer.parseInt(address.substring(colon + 1)))
                .setRootHandler(handler);
    }

    private void tick() {
        if (worker.isShutdown()) {
            return;
        }
        thread.executeAfter(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
        giveUp(asked, USER_MS);
        giveUp(polled, POLL_MS);
        accept(new Input.Tick());
    }

    /** Tells those to come back who have been without an answer for about as long as they wait for one. */
    private void giveUp(Deque<Asked> requests, long afterMs) {
        while (!requests.isEmpty() && System.nanoTime() - requests.peek().at() > afterMs * 1_000_000) {
            reply(requests.poll().id(), 503, UserProtocol.error("no answer in time, try again"));
        }
    }

    /** Says once a minute how long users waited for their answers. */
    private void summarise() {
        if (worker.isShutdown()) {
            return;
        }
        thread.executeAfter(this::summarise, SUMMARY_MS, TimeUnit.MILLISECONDS);
        workers.closeIdle();
        LOG.info("since the start: {}; connections to {} workers", controller.countersSummary(), workers.size());
        if (userMs.getTotalCount() > 0) {
            LOG.info(
                    "answered {} user requests in the last minute: p50 {} ms, p99 {} ms, longest {} ms",
                    userMs.getTotalCount(),
                    userMs.getValueAtPercentile(50),
                    userMs.getValueAtPercentile(99),
                    userMs.getMaxValue());
            userMs.reset();
        }
    }

    /** Gives a message to the core and does what it wants done. */
    private void accept(Input input) {
        try {
            effects.take(
                    controller.handle((System.nanoTime() - startedAt) / 1_000_000, System.currentTimeMillis(), input));
        } catch (RuntimeException e) {
            LOG.error("a fault while handling {}", input.getClass().getSimpleName(), e);
        }
    }

    private void act(Effect effect) {
        if (effect instanceof Effect.AnswerHeartbeat e) {
            reply(e.id(), 200, WorkerProtocol.answer(e.fencingToken(), e.commands()));
        } else if (effect instanceof Effect.RedirectHeartbeat e) {
            reply(e.id(), 421, WorkerProtocol.redirect(e.controller()));
        } else if (effect instanceof Effect.RejectHeartbeat e) {
            reply(e.id(), 503, UserProtocol.error("not entitled now"));
        } else if (effect instanceof Effect.AnswerUser e) {
            answerUser(e);
        } else if (effect instanceof Effect.CommitTransaction e) {
            state.txn(e.id(), e.transaction());
        } else if (effect instanceof Effect.Watch e) {
            state.watch(e.afterRevision());
        } else if (effect instanceof Effect.ReadValue e) {
            state.read(e.id(), e.key());
        } else if (effect instanceof Effect.ReadRevision) {
            state.readRevision();
        } else if (effect instanceof Effect.ListStore) {
            state.list();
        } else if (effect instanceof Effect.GrantLease e) {
            state.grant(e.ttlMs());
        } else if (effect instanceof Effect.RenewLease e) {
            state.touch(e.lease());
        } else if (effect instanceof Effect.SendCommands e) {
            commands.send(e);
        } else if (effect instanceof Effect.ListMachineTypes) {
            cloud.catalog();
        } else if (effect instanceof Effect.ListInstances) {
            cloud.list();
        } else if (effect instanceof Effect.CreateInstances e) {
            cloud.rent(e);
        } else if (effect instanceof Effect.DeleteInstances e) {
            cloud.delete(e.machines());
        } else if (effect instanceof Effect.BroadcastStatus e) {
            peers.tell(e);
        } else if (effect instanceof Effect.Log e) {
            switch (e.level()) {
                case ERROR -> CORE.error(e.text());
                case INFO -> CORE.info(e.text());
                case DEBUG -> CORE.debug(e.text());
            }
        }
    }

    private void answerUser(Effect.AnswerUser answer) {
        HttpServerExchange exchange = pending.remove(answer.id());
        if (exchange == null) {
            return;
        }
        if (answer.status() == 503) {
            exchange.getResponseHeaders().put(RETRY_AFTER, answer.retryAfterS());
        }
        byte[] body = answer.job() != null ? UserProtocol.state(answer.job()) : UserProtocol.error(answer.reason());
        HttpExchanges.send(exchange, answer.status(), body);
    }

    private void serve(HttpServerExchange exchange) {
        String path = exchange.getRelativePath();
        HttpString method = exchange.getRequestMethod();
        if (path.equals("/healthz")) {
            if (!method.equals(Methods.GET)) {
                HttpExchanges.send(exchange, 405, UserProtocol.error("use GET"));
            } else if (controller.isHealthy()) {
                HttpExchanges.send(exchange, 200, UserProtocol.error("none"));
            } else {
                HttpExchanges.send(exchange, 503, UserProtocol.error("not ready"));
            }
        } else if (path.equals(WorkerProtocol.REPORT)) {
            HttpExchanges.only(exchange, Methods.POST, () -> HttpExchanges.receive(exchange, this::report));
        } else if (path.equals(UserProtocol.RUNS)) {
            HttpExchanges.only(exchange, Methods.POST, () -> HttpExchanges.receive(exchange, this::submit));
        } else if (path.startsWith(UserProtocol.RUNS + "/")) {
            job(exchange, path.substring(UserProtocol.RUNS.length() + 1));
        } else {
            HttpExchanges.send(exchange, 404, UserProtocol.error("no such path"));
        }
    }

    private void job(HttpServerExchange exchange, String rest) {
        int slash = rest.indexOf('/');
        String id = slash < 0 ? rest : rest.substring(0, slash);
        boolean abort = slash >= 0 && rest.substring(slash + 1).equals(UserProtocol.ABORT);
        if (slash >= 0 && !abort) {
            HttpExchanges.send(exchange, 404, UserProtocol.error("no such path"));
        } else if (!exchange.getRequestMethod().equals(abort ? Methods.POST : Methods.GET)) {
            HttpExchanges.send(exchange, 405, UserProtocol.error("use " + (abort ? "POST" : "GET")));
        } else if (!UserProtocol.isUid(id)) {
            HttpExchanges.send(exchange, 404, UserProtocol.error("no such job"));
        } else if (abort) {
            HttpExchanges.receive(exchange, (e, body) -> fromUser(e, asked, n -> new Input.CancelJob(n, id)));
        } else {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE, () -> fromUser(exchange, polled, n -> new Input.GetJobStatus(n, id)));
        }
    }

    private void submit(HttpServerExchange exchange, byte[] body) {
        UserProtocol.Submission s = UserProtocol.submission(body);
        fromUser(exchange, asked, n -> new Input.SubmitJob(n, s.uid(), s.job(), s.reason()));
    }

    /** Asks the core for an answer. Too many at once are told to come back. */
    private void fromUser(
            HttpServerExchange exchange, Deque<Asked> requests, java.util.function.LongFunction<Input> input) {
        if (pending.size() >= MAX_PENDING) {
            HttpExchanges.send(exchange, 503, UserProtocol.error("too busy, try again"));
            return;
        }
        long id = nextId++;
        long askedAt = System.nanoTime();
        pending.put(id, exchange);
        exchange.addExchangeCompleteListener((e, next) -> {
            userMs.recordValue(Math.min(60_000, (System.nanoTime() - askedAt) / 1_000_000));
            next.proceed();
        });
        requests.add(new Asked(id, askedAt));
        accept(input.apply(id));
    }

    private void report(HttpServerExchange exchange, byte[] body) {
        Heartbeat heartbeat;
        try {
            heartbeat = WorkerProtocol.report(body);
        } catch (IOException | NumberFormatException e) {
            HttpExchanges.send(exchange, 400, UserProtocol.error("not a report"));
            return;
        }
        if (controller.ownedMachineCount() > endpoints.keptReportConnections()) {
            // A controller that is alone with all machines has no connection for each: they take turns.
            exchange.setPersistent(false);
        }
        long id = nextId++;
        pending.put(id, exchange);
        accept(new Input.HeartbeatReceived(id, heartbeat));
        reply(id, 503, UserProtocol.error("not entitled now"));
    }

    private void servePeer(HttpServerExchange exchange) {
        if (!exchange.getRelativePath().equals(PeerProtocol.STATUS)) {
            HttpExchanges.send(exchange, 404, UserProtocol.error("no such path"));
            return;
        }
        HttpExchanges.receive(exchange, (e, body) -> {
            try {
                accept(new Input.PeerStatusReceived(PeerProtocol.status(body)));
                HttpExchanges.send(e, 200, UserProtocol.error("none"));
            } catch (IOException | RuntimeException bad) {
                HttpExchanges.send(e, 400, UserProtocol.error("not a status"));
            }
        });
    }

    private void reply(long id, int status, byte[] body) {
        HttpServerExchange exchange = pending.remove(id);
        if (exchange != null) {
            HttpExchanges.send(exchange, status, body);
        }
    }
}
