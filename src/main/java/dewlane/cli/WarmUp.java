package dewlane.cli;

import dewlane.core.config.Settings;
import dewlane.core.config.StoreLimits;
import dewlane.core.controller.Controller;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.Attempt;
import dewlane.core.model.ContainerImage;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Job;
import dewlane.core.model.JobOwnership;
import dewlane.core.model.JobTiming;
import dewlane.core.model.MachineType;
import dewlane.core.model.Priority;
import dewlane.core.model.Resources;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.Transaction;
import dewlane.io.ControllerServer;
import dewlane.io.NetworkSettings;
import dewlane.wire.StoreProtocol;
import dewlane.wire.StoredValueCodec;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Loads the classes that a controller needs at start and in normal operation, so that the build can archive them. */
final class WarmUp {
    private static final String TYPE = "any";
    private static final int MAX_SOCKETS = 500;
    private static final long INPUT_INTERVAL_MS = 200;
    /** How long the controller sends requests to itself: long enough for each of its clients to be used. */
    private static final long SERVING_MS = 700;

    private WarmUp() {}

    static void run() {
        Main.configureLog();
        try {
            new SecureRandom().nextLong();
            runCore();
            runServer();
        } catch (IOException | InterruptedException | SettingsException e) {
            System.err.println("the warm-up failed: " + e);
        }
        System.exit(0);
    }

    private static Settings settings() {
        return new Settings(
                "self",
                List.of(),
                Map.of("team", new Settings.TeamQuota("team", 1, 0, 2, 0)),
                List.of(),
                List.of("zone"),
                3,
                30,
                60,
                StoreLimits.constant(100, 100, 16_384, 16),
                5,
                5,
                Settings.Tuning.defaults());
    }

    private static Job job(String id) {
        return Job.builder(id)
                .ownership(new JobOwnership("team", "class", Priority.HIGH))
                .tasks(2)
                .resources(new Resources(1, 0, 1))
                .image(new ContainerImage("image", 1))
                .timing(new JobTiming(10, 0, 0, 0))
                .build();
    }

    /** Runs a core that joins the partition map, accepts a job and launches it, with simulated answers of the store. */
    private static void runCore() throws IOException {
        Controller controller = new Controller(settings(), 1, value -> StoredValueCodec.encode(value).length);
        long nowMs = 0;
        for (Input input : inputs(job("wk-1"))) {
            nowMs += INPUT_INTERVAL_MS;
            for (Effect effect : controller.handle(nowMs, nowMs, input)) {
                if (effect instanceof Effect.CommitTransaction commit) {
                    StoreProtocol.transactionRequest(commit.transaction());
                }
            }
        }
        StoreProtocol.parseEvents("{\"ledger\":1,\"log\":[]}".getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns the rows of a page of a listing with a job that depends on another one, and with its slice. */
    private static List<Input.StoreRow> listedRows(StoredValue slice) throws IOException {
        Job waiting = job("wk-3").withDependencies(List.of("wk-2"));
        StoredValue record =
                new StoredValue.JobRecord(waiting, List.of(new StoredValue.SliceAssignment("self", 0, 2)), 0);
        String rows = row(StoreKeys.job(waiting.id()), record) + "," + row(StoreKeys.slice(waiting.id(), 0), slice);
        String page = "{\"ledger\":1,\"more\":true,\"rows\":[" + rows + "]}";
        return StoreProtocol.parsePage(page.getBytes(StandardCharsets.US_ASCII)).rows();
    }

    private static String row(String key, StoredValue value) {
        String json = new String(StoredValueCodec.encode(value), StandardCharsets.US_ASCII);
        return "{\"key\":\"" + key + "\",\"value\":" + json + ",\"entry\":1}";
    }

    private static List<Input> inputs(Job job) throws IOException {
        StoredValue map = new StoredValue.PartitionMap(1, List.of(new StoredValue.Member("self", 1)), Map.of());
        StoredValue slice =
                new StoredValue.Slice("self", 0, 2, 0, new BitSet(), List.of(new Attempt(1, 1, "m", 1, 1, 1)));
        return List.of(
                new Input.Tick(),
                new Input.LeaseGranted(1),
                new Input.StorePageListed(listedRows(slice)),
                new Input.StoreListed(List.of(), 1, 1),
                new Input.MachineTypesListed(List.of(new MachineType(TYPE, 4, 0, 8, 10, 1, 1, 1, 30, List.of("zone")))),
                new Input.Tick(),
                new Input.TransactionCompleted(1, Transaction.Status.COMMITTED, 2),
                new Input.WatchEvents(1, List.of(new Input.KeyChange(StoreKeys.PARTITION_MAP, map, 2)), 2),
                new Input.Tick(),
                new Input.SubmitJob(1, job.id(), job, null),
                new Input.TransactionCompleted(2, Transaction.Status.COMMITTED, 3),
                new Input.WatchEvents(
                        2,
                        List.of(
                                new Input.KeyChange(
                                        StoreKeys.job(job.id()), new StoredValue.JobRecord(job, List.of(), 0), 3),
                                new Input.KeyChange(StoreKeys.slice(job.id(), 0), slice, 3)),
                        3),
                new Input.HeartbeatReceived(
                        2, new Heartbeat("m", "h:1", TYPE, "zone", true, 1, 1, 0, Double.NaN, List.of())),
                new Input.Tick(),
                new Input.GetJobStatus(3, job.id()),
                new Input.RevisionRead(3),
                new Input.ValueRead(1, Optional.empty()),
                new Input.Tick());
    }

    /** Runs a controller on free loopback ports, with itself as store, cloud and peer. */
    private static void runServer() throws IOException, InterruptedException, SettingsException {
        String self = "127.0.0.1:" + freePort();
        String peer = "127.0.0.1:" + freePort();
        NetworkSettings network = new NetworkSettings(self, peer, Map.of("other", peer), self, self, MAX_SOCKETS);
        ControllerServer server = new ControllerServer(settings(), network, 1);
        server.start();
        Thread.sleep(SERVING_MS);
        TomlTable.read("deploy/service.toml");
        server.stop();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
