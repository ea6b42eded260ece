package dewlane.core.controller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.config.Settings;
import dewlane.core.config.TestSettings;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.Attempt;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Heartbeat.TaskStatus;
import dewlane.core.model.Job;
import dewlane.core.model.JobBuilder;
import dewlane.core.model.MachineType;
import dewlane.core.model.TestHeartbeats;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Presence;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.schema.Transaction;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;

/** A controller core, n0, that has joined as the only member, and helpers that feed it inputs; the machine is m1. */
public abstract class ControllerFixture {
    static final MachineType BOX = new MachineType("box", 4, 0, 16, 20, 1, 0.2, 0.1, 30, List.of("east"));
    static final String JOB = "wk-1";
    static final String MACHINE = "m1";
    /** The first fencing token that the machine receives. */
    public static final long FIRST_TOKEN = 1L << 20;

    public final Controller controller = new Controller(
            TestSettings.of(
                    List.of("n1"),
                    Map.of(
                            "blue",
                            new Settings.TeamQuota("blue", 0, 0, 4, 0),
                            "red",
                            new Settings.TeamQuota("red", 0, 0, 0, 0)),
                    TestSettings.CANCELLATION_DEADLINE_S,
                    TestSettings.STORE_LIMITS),
            1,
            value -> 0);
    final List<Effect> effects = new ArrayList<>();
    long now;
    long revision = 10;
    /** The id of the latest watch that the controller has requested. */
    long watch;

    @BeforeEach
    void join() {
        receive(0, new Input.Tick());
        receive(10, new Input.LeaseGranted(7));
        receive(10, new Input.StoreListed(List.of(), revision, revision));
        receive(10, new Input.MachineTypesListed(List.of(BOX)));
        tick(100);
        Effect.CommitTransaction joining = takeFirst(Effect.CommitTransaction.class);
        revision++;
        receive(5, new Input.TransactionCompleted(joining.id(), Transaction.Status.COMMITTED, revision));
        receiveChanges(
                5,
                List.of(
                        new Input.KeyChange(StoreKeys.PARTITION_MAP, mapOfOne(), revision),
                        new Input.KeyChange(StoreKeys.presence("n0"), new Presence(1), revision)));
        assertTrue(controller.isReady());
        effects.clear();
    }

    /** Returns the revision of the latest change that the controller has received. */
    public long revision() {
        return revision;
    }

    /** Returns a partition map with n0 as the only member. */
    static PartitionMap mapOfOne() {
        return new PartitionMap(1, List.of(new Member("n0", 1)), Map.of());
    }

    /** Has the controller handle an input at the given time after the last one. */
    public void receive(long afterMs, Input input) {
        now += afterMs;
        List<Effect> emitted = controller.handle(now, now, input);
        emitted.stream().filter(Effect.Watch.class::isInstance).forEach(effect -> watch = ((Effect.Watch) effect).id());
        effects.addAll(emitted);
    }

    /** Has the controller's watch deliver changes up to the latest revision. */
    public void receiveChanges(long afterMs, List<Input.KeyChange> changes) {
        receive(afterMs, new Input.WatchEvents(watch, changes, revision));
    }

    /** Has the timer fire at the given time after the last input. */
    public void tick(long afterMs) {
        receive(afterMs, new Input.Tick());
    }

    /** Has the controller receive a heartbeat; its response carries the given request id. */
    public void receiveHeartbeat(long afterMs, long request, Heartbeat heartbeat) {
        receive(afterMs, new Input.HeartbeatReceived(request, heartbeat));
    }

    /** Has the controller's watch deliver a change of a key. */
    void applyChange(String key, StoredValue value) {
        revision++;
        receiveChanges(60, List.of(new Input.KeyChange(key, value, revision)));
    }

    void applyJob(Job job) {
        applyChange(StoreKeys.job(job.id()), new JobRecord(job, List.of(), 0));
    }

    /** Has the watch deliver the only slice of the first job, which n0 owns. */
    void applySlice(int tasks, int launches, Attempt... attempts) {
        applyChange(StoreKeys.slice(JOB, 0), slice(tasks, launches, attempts));
    }

    static Slice slice(int tasks, int launches, Attempt... attempts) {
        return new Slice("n0", 0, tasks, launches, new BitSet(), List.of(attempts));
    }

    /** Returns an attempt that was launched on the machine under its first fencing token. */
    static Attempt attempt(int task, int number) {
        return new Attempt(task, number, MACHINE, 1, FIRST_TOKEN, 1);
    }

    /** Returns the effects of the given type, and clears all effects so far. */
    public <T extends Effect> List<T> take(Class<T> kind) {
        List<T> found =
                effects.stream().filter(kind::isInstance).map(kind::cast).toList();
        effects.clear();
        return found;
    }

    <T extends Effect> T takeFirst(Class<T> kind) {
        return take(kind).get(0);
    }

    /** Returns the slice that a transaction writes. */
    static Slice writtenSlice(Transaction transaction) {
        return (Slice) transaction.writes().stream()
                .filter(write -> write.key().startsWith(StoreKeys.SLICES))
                .findFirst()
                .orElseThrow()
                .value();
    }

    /** Returns a heartbeat of the machine with the given tasks. */
    public static Heartbeat heartbeat(long incarnation, long sequence, long token, TaskStatus... tasks) {
        return TestHeartbeats.of(incarnation, sequence, token, List.of(tasks));
    }

    /** Has the machine send two heartbeats; the second shows that it received the response to the first. */
    void connectWorker() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, 0));
        receiveHeartbeat(500, 2, heartbeat(1, 2, FIRST_TOKEN));
    }

    static Job job(int tasks, double cpus) {
        return job(JOB, tasks, cpus);
    }

    static Job job(String id, int tasks, double cpus) {
        return JobBuilder.job(id).tasks(tasks).cpus(cpus).acceptedAtMs(1).build();
    }
}
