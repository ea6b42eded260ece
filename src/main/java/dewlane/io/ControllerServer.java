package dewlane.io;

import dewlane.core.config.Settings;
import dewlane.core.controller.Controller;
import dewlane.core.job.JobMemory;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.wire.StoredValueCodec;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Runs a controller's core with its sockets and timers. Everything runs on one I/O thread, so no locks are needed. */
public final class ControllerServer {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerServer.class);
    private static final long TICK_INTERVAL_MS = 100;
    private static final long SUMMARY_INTERVAL_MS = 60_000;
    private static final int BUFFER_BYTES = 8192;
    private static final int MAX_POOLED_BUFFERS = 200;
    private static final int IDLE_CONNECTION_TIMEOUT_MS = 120_000;
    private static final int REQUEST_HEADER_TIMEOUT_MS = 10_000;
    /** The sum of the bodies that may arrive from users at the same time: 128 of the largest size. */
    private static final int MAX_ARRIVING_BYTES = 128 * HttpExchanges.MAX_BODY_BYTES;
    /** Users wait 5 s for an answer. */
    private static final long BODY_TIMEOUT_MS = 5000;

    private final Settings settings;
    private final NetworkSettings network;
    private final Controller controller;
    private final ControllerLoop loop;
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers = new ExitingBufferPool(BUFFER_BYTES, MAX_POOLED_BUFFERS);
    private final PendingRequests requests = new PendingRequests();
    private final BodyBudget userBodies = new BodyBudget(MAX_ARRIVING_BYTES, BODY_TIMEOUT_MS);
    private final WorkerConnectionPools workers;
    private final EffectDispatcher effects;
    private Undertow server;

    /**
     * Builds the controller and its clients; nothing is opened before {@link #start}.
     *
     * @param seed the seed of the core's random choices
     * @throws IOException if the I/O thread cannot be started
     */
    public ControllerServer(Settings settings, NetworkSettings network, long seed) throws IOException {
        this.settings = settings;
        this.network = network;
        this.controller = new Controller(settings, seed, value -> StoredValueCodec.encode(value).length);
        this.controller.setCommandLogging(
                LoggerFactory.getLogger(Controller.class).isDebugEnabled());
        this.loop = new ControllerLoop(controller, this::dispatch, FatalErrors::exit);
        this.worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.THREAD_DAEMON, false)
                        .getMap());
        this.thread = worker.getIoThread();
        this.workers = new WorkerConnectionPools(thread, buffers, network.maxCommandConnections());
        this.effects = new EffectDispatcher(
                requests,
                new StoreClient(thread, buffers, network.store(), settings, loop::accept),
                new CloudClient(thread, buffers, network.cloud(), loop::accept),
                new WorkerCommandClient(workers, loop::accept),
                new PeerClient(thread, buffers, network.peers().values()));
    }

    private void dispatch(Effect effect) {
        effects.dispatch(effect);
    }

    /** Starts to listen and to send ticks to the core. */
    public void start() {
        server = Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, network.maxInboundConnections())
                .setSocketOption(Options.CONNECTION_LOW_WATER, network.maxInboundConnections() - 1)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) HttpExchanges.MAX_BODY_BYTES)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_CONNECTION_TIMEOUT_MS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_HEADER_TIMEOUT_MS)
                .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                .addListener(listener(network.listen(), serviceEndpoint()))
                .addListener(listener(network.peerListen(), new PeerEndpoint(loop::accept)))
                .build();
        server.start();
        LOG.info("{} listens on {} and {}", settings.controllerName(), network.listen(), network.peerListen());
        thread.execute(FatalErrors.guard(this::tick));
        thread.executeAfter(FatalErrors.guard(this::logSummary), SUMMARY_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private HttpHandler serviceEndpoint() {
        return new ServiceEndpoint(
                new UserEndpoint(requests, userBodies, loop::accept),
                new HeartbeatEndpoint(requests, loop::accept, this::mayKeepConnections),
                controller::isHealthy);
    }

    /**
     * Returns false while this controller owns more machines than heartbeat connections may stay open. Each connection
     * is then closed after its answer, so that the workers share the available sockets.
     */
    private boolean mayKeepConnections() {
        return controller.ownedMachineCount() <= network.maxPersistentHeartbeatConnections();
    }

    /** Stops the controller. Used by tests and the warm-up only. */
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
        thread.executeAfter(FatalErrors.guard(this::tick), TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        requests.expire();
        loop.accept(new Input.Tick());
    }

    /** Logs the controller's counters and the latencies of users' requests, once a minute. */
    private void logSummary() {
        if (worker.isShutdown()) {
            return;
        }
        thread.executeAfter(FatalErrors.guard(this::logSummary), SUMMARY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        workers.closeIdle();
        LOG.info("since the start: {}; connections to {} workers", controller.countersSummary(), workers.size());
        LOG.info(
                "the stored jobs take about {} of {} bytes; {} bodies of users' requests refused",
                controller.jobMemoryBytes(),
                JobMemory.MAX_BYTES,
                userBodies.refusedRequests());
        requests.logLatencies(LOG);
    }
}
