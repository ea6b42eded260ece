package dewlane.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dewlane.core.model.Attempt;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Job;
import dewlane.core.model.JobIds;
import dewlane.core.model.PeerStatus;
import dewlane.core.schema.SchemaVersion;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.UnknownFields;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Parses valid and malformed messages, and reads values back from what was written. */
class WireCodecTest {
    private static final String GOOD =
            """
            {"uid":"wk-000412","lot":"train","house":"vision","style":"batch","rank":"high","bottles":16,
            "vcpus":8.0,"gpus":1.0,"ramGb":64.0,"blend":"img-07","pullGb":6.2,"racks":["g8"],"cellar":null,
            "samePlace":true,"scatter":false,"consignment":true,"maturingS":240.0,"rackingS":30.0,"corkingS":4.0,
            "shipByS":900.0}""";

    private static UserProtocol.Submission submission(String text) {
        return UserProtocol.parseSubmission(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void validSubmissionIsRead() {
        Job job = submission(GOOD).job();
        assertEquals(SampleJob.builder().types(List.of("g8")).zone(null).build(), job);
        assertEquals(
                0,
                submission(GOOD.replace("\"shipByS\":900.0", "\"new\":{}"))
                        .job()
                        .deadlineS());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"bottles\":16 | \"bottles\":0",
                "\"bottles\":16 | \"bottles\":100001",
                "\"bottles\":16 | \"bottles\":16.0",
                "\"bottles\":16 | \"bottles\":\"16\"",
                "\"bottles\":16 | \"bottles\":99999999999999999999",
                "\"vcpus\":8.0 | \"vcpus\":0",
                "\"vcpus\":8.0 | \"vcpus\":-1",
                "\"vcpus\":8.0 | \"vcpus\":1e999",
                "\"vcpus\":8.0 | \"vcpus\":null",
                "\"gpus\":1.0 | \"gpus\":-0.5",
                "\"ramGb\":64.0 | \"ramGb\":\"64\"",
                "\"rank\":\"high\" | \"rank\":\"urgent\"",
                "\"style\":\"batch\" | \"style\":\"daemon\"",
                "\"racks\":[\"g8\"] | \"racks\":[]",
                "\"racks\":[\"g8\"] | \"racks\":[8]",
                "\"racks\":[\"g8\"] | \"racks\":\"g8\"",
                "\"samePlace\":true | \"samePlace\":1",
                "\"shipByS\":900.0 | \"shipByS\":0",
                "\"house\":\"vision\", | ",
                "\"cellar\":null | \"cellar\":4",
                "\"maturingS\":240.0 | \"maturingS\":0",
                "\"cellar\":null | \"cellar\":null,\"awaits\":\"wk-1\"",
                "\"cellar\":null | \"cellar\":null,\"awaits\":{}",
                "\"cellar\":null | \"cellar\":null,\"awaits\":[7]",
                "\"cellar\":null | \"cellar\":null,\"awaits\":[\"job-1\"]",
                "\"cellar\":null | \"cellar\":null,\"awaits\":[null]"
            })
    void badFieldIsReportedWithTheJobId(String good, String bad) {
        UserProtocol.Submission s = submission(GOOD.replace(good, bad == null ? "" : bad));
        assertNull(s.job());
        assertNotNull(s.bodyError());
        assertEquals("wk-000412", s.jobId());
    }

    @Test
    void duplicateDependenciesAreDropped() {
        String some = GOOD.replace("\"cellar\":null", "\"awaits\":[\"wk-000398\",\"wk-4\",\"wk-000398\"]");
        assertEquals(
                JobIds.of(List.of("wk-000398", "wk-4")), submission(some).job().dependencies());
        for (String none : List.of("null", "[]")) {
            String text = GOOD.replace("\"cellar\":null", "\"awaits\":" + none);
            assertEquals(JobIds.NONE, submission(text).job().dependencies());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "x", "[]", "null", "{", "{}", "{\"uid\":\"wk-\"}", "{\"uid\":7}", "{\"uid\":\"wk-1/2\"}"})
    void bodyWithoutAnIdIsMalformed(String body) {
        assertNull(submission(body).jobId());
    }

    @Test
    void deepNestingIsRejected() {
        assertNull(submission("{\"uid\":" + "[".repeat(30_000)).jobId());
    }

    @Test
    void heartbeatIsRead() throws IOException {
        Heartbeat heartbeat = WorkerProtocol.parseHeartbeat(
                """
                {"cask":"vm-000231","address":"10.1.0.232:9000","rack":"g8","cellar":"a","consignment":true,"pour":1,
                "tally":88,"seal":41,"recallS":null,"bottles":[{"bottle":"wk-000412/3","try":2,"condition":"running"},
                {"bottle":"wk-000398/0","try":1,"condition":"ended","fault":"done"}]}"""
                        .getBytes(StandardCharsets.UTF_8));
        assertEquals(41, heartbeat.fencingToken());
        assertEquals(
                List.of(
                        new Heartbeat.TaskStatus("wk-000412", 3, 2, Heartbeat.Phase.RUNNING, null, false),
                        new Heartbeat.TaskStatus(
                                "wk-000398", 0, 1, Heartbeat.Phase.EXITED, Heartbeat.ExitReason.DONE, false)),
                heartbeat.tasks());
        assertThrows(
                IOException.class,
                () -> WorkerProtocol.parseHeartbeat("{\"cask\":\"vm-1\"}".getBytes(StandardCharsets.UTF_8)));
    }

    private static StoredValue slice() {
        BitSet done = new BitSet();
        done.set(0, 5);
        done.set(7);
        done.set(9, 12);
        return new StoredValue.Slice(
                "n0",
                40,
                20,
                3,
                done,
                List.of(
                        new Attempt(45, 3, "vm-1", 2, 77L << 20, 5_000_000_000L),
                        new Attempt(46, 3, "vm-2", 1, (76L << 20) + 5, 5_000_000_000L)));
    }

    private static Map<String, StoredValue> valuesByKey() {
        Job job = submission(GOOD).job().withAcceptedAt(1234);
        return Map.of(
                StoreKeys.job("wk-1"),
                new StoredValue.JobRecord(
                        job,
                        List.of(
                                new StoredValue.SliceAssignment("n0", 0, 10),
                                new StoredValue.SliceAssignment("n1", 10, 6)),
                        99),
                StoreKeys.jobResult("wk-1"),
                new StoredValue.JobResult(true, 7),
                StoreKeys.slice("wk-1", 2),
                slice(),
                StoreKeys.PARTITION_MAP,
                new StoredValue.PartitionMap(
                        5,
                        List.of(new StoredValue.Member("a", 4), new StoredValue.Member("b", 5)),
                        Map.of("vm-1", "b"),
                        List.of(
                                new StoredValue.QuotaTransfer("blue", "a", 1.5, 0),
                                new StoredValue.QuotaTransfer("blue", "b", -1.5, 0)),
                        Map.of("a", SchemaVersion.DEPENDENCIES, "evicted", SchemaVersion.DEPENDENCIES),
                        UnknownFields.NONE),
                StoreKeys.presence("a"),
                (StoredValue) new StoredValue.Presence(4),
                StoreKeys.decommission("vm-1"),
                new StoredValue.DecommissionRecord(StoredValue.DecommissionState.TERMINATED, "deleted", List.of()),
                StoreKeys.decommissionBatch("a", 3, 1),
                new StoredValue.DecommissionRecord(
                        StoredValue.DecommissionState.DELETE, "silent", List.of("vm-1", "vm-2")));
    }

    @Test
    void storedValuesAreDecodedAsTheyWereEncoded() throws IOException {
        for (Map.Entry<String, StoredValue> e : valuesByKey().entrySet()) {
            byte[] json = StoredValueCodec.encode(e.getValue());
            assertEquals(e.getValue(), StoredValueCodec.decode(e.getKey(), Json.parse(json)));
        }
    }

    @Test
    void hundredThousandDoneTasksAreOneRange() {
        BitSet done = new BitSet();
        done.set(0, 100_000);
        assertEquals("0-99999", TaskRangeCodec.write(done));
        assertEquals(done, TaskRangeCodec.read("0-99999"));
        assertEquals(new BitSet(), TaskRangeCodec.read(""));
    }

    @Test
    void peerStatusIsDecodedAsItWasEncoded() throws IOException {
        PeerStatus status = new PeerStatus(
                "n0",
                9,
                true,
                List.of("wk-000007"),
                List.of(new PeerStatus.MachineStatus("vm-1", "h:1", "box", "east", true, 3, 9)));
        assertEquals(status, PeerProtocol.parseStatus(PeerProtocol.encodeStatus(status)));
    }
}
