package dewlane.core.controller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.config.Settings;
import dewlane.core.config.TestSettings;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Job;
import dewlane.core.model.JobBuilder;
import dewlane.core.model.MachineType;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Presence;
import dewlane.core.schema.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;

/** One controller core that has joined alone, and the messages that tests give it. */
public abstract class ControllerFixture {
    static final MachineType BOX = new MachineType("box", 4, 0, 16, 20, 1, 0.2, 0.1, 30, List.of("east"));

    public final Controller controller = new Controller(
            TestSettings.of(
                    List.of("n1"),
                    Map.of(
                            "blue",
                            new Settings.TeamQuota("blue", 0, 0, 4, 0),
                            "red",
                            new Settings.TeamQuota("red", 0, 0, 0, 0)),
                    TestSettings.CANCEL_S,
                    TestSettings.LIMITS),
            1,
            value -> 0);
    final List<Effect> effects = new ArrayList<>();
    long now;
    public long revision = 10;

    /** Gives the controller a message that many milliseconds after the last one. */
    public void hear(long afterMs, Input input) {
        now += afterMs;
        effects.addAll(controller.handle(now, now, input));
    }

    void change(String key, StoredValue value) {
        revision++;
        hear(60, new Input.WatchEvents(List.of(new Input.KeyChange(key, value, revision)), revision));
    }

    /** Returns the effects of one kind since the last call, and drops the others. */
    public <T extends Effect> List<T> take(Class<T> kind) {
        List<T> found =
                effects.stream().filter(kind::isInstance).map(kind::cast).toList();
        effects.clear();
        return found;
    }

    /** A heartbeat of the one machine, without tasks. */
    public Heartbeat report(long session, long sequence, long token) {
        return new Heartbeat("m1", "h:1", "box", "east", true, session, sequence, token, Double.NaN, List.of());
    }

    /** A machine that reports, and shows by its next report that it got the answer. */
    void meet() {
        hear(60, new Input.HeartbeatReceived(1, report(1, 1, 0)));
        hear(500, new Input.HeartbeatReceived(2, report(1, 2, 1L << 20)));
    }

    static Job job(int tasks, double cpus) {
        return job("wk-1", tasks, cpus);
    }

    static Job job(String id, int tasks, double cpus) {
        return JobBuilder.job(id).tasks(tasks).cpus(cpus).acceptedMs(1).build();
    }

    @BeforeEach
    void join() {
        hear(0, new Input.Tick());
        hear(10, new Input.LeaseGranted(7));
        hear(10, new Input.StoreListed(List.of(), revision, revision));
        hear(10, new Input.MachineTypesListed(List.of(BOX)));
        hear(100, new Input.Tick());
        Effect.CommitTransaction txn = take(Effect.CommitTransaction.class).get(0);
        revision++;
        hear(5, new Input.TransactionCompleted(txn.id(), Transaction.Status.COMMITTED, revision));
        hear(
                5,
                new Input.WatchEvents(
                        List.of(
                                new Input.KeyChange(
                                        StoreKeys.PARTITION_MAP,
                                        new PartitionMap(1, List.of(new Member("n0", 1)), Map.of()),
                                        revision),
                                new Input.KeyChange(StoreKeys.presence("n0"), new Presence(1), revision)),
                        revision));
        assertTrue(controller.isReady());
        effects.clear();
    }
}
