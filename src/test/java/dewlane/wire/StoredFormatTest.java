package dewlane.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.message.Input;
import dewlane.core.model.Attempt;
import dewlane.core.model.Job;
import dewlane.core.model.PeerStatus;
import dewlane.core.schema.SchemaVersion;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.schema.StoredValue.QuotaTransfer;
import dewlane.core.schema.StoredValue.SliceAssignment;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Values and messages stay compatible between two versions that run side by side during a rolling upgrade. The files
 * were recorded from a build of version 0.1, which this version replaces.
 */
class StoredFormatTest {
    private static final Path RECORDED = Path.of("src/test/resources/version-0.1");

    private static byte[] recorded(String file) throws IOException {
        return Files.readAllBytes(RECORDED.resolve(file));
    }

    private static Job job() {
        return SampleJob.builder().acceptedAtMs(1764668400123L).build();
    }

    private static StoredValue.Slice slice() {
        BitSet done = new BitSet();
        done.set(0, 5);
        done.set(7);
        done.set(9, 12);
        return new StoredValue.Slice(
                "cask-1",
                40,
                20,
                3,
                done,
                List.of(
                        new Attempt(45, 3, "vm-000231", 2, (77L << 20) + 1, 1764668450000L),
                        new Attempt(46, 3, "vm-000232", 1, (76L << 20) + 5, 1764668450000L),
                        new Attempt(48, 2, "vm-000231", 2, (77L << 20) + 1, 1764668440000L),
                        new Attempt(53, 2, "vm-000231", 2, (77L << 20) + 1, 1764668440000L)));
    }

    private static Stream<Arguments> values() {
        List<SliceAssignment> assignments =
                List.of(new SliceAssignment("cask-0", 0, 10), new SliceAssignment("cask-1", 10, 6));
        List<QuotaTransfer> transfers =
                List.of(new QuotaTransfer("blue", "cask-0", 1.5, 0), new QuotaTransfer("blue", "cask-1", -1.5, 0));
        List<Member> members = List.of(new Member("cask-0", 4), new Member("cask-1", 5));
        return Stream.concat(
                jobValues(assignments),
                Stream.of(
                        Arguments.of(
                                "map.json",
                                StoreKeys.PARTITION_MAP,
                                new StoredValue.PartitionMap(5, members, Map.of("vm-000231", "cask-1"), transfers)),
                        Arguments.of(
                                "map-first.json",
                                StoreKeys.PARTITION_MAP,
                                new StoredValue.PartitionMap(1, List.of(new Member("cask-0", 1)), Map.of())),
                        Arguments.of(
                                "presence.json",
                                StoreKeys.presence("cask-0"),
                                new StoredValue.Presence(4, SchemaVersion.FIRST)),
                        Arguments.of(
                                "team.json", StoreKeys.teamUsage("blue"), new StoredValue.TeamUsageRecord(12.5, 2)),
                        Arguments.of(
                                "machine.json",
                                StoreKeys.decommission("vm-000231"),
                                new StoredValue.DecommissionRecord(
                                        StoredValue.DecommissionState.TERMINATED, "deleted", List.of())),
                        Arguments.of(
                                "machines.json",
                                StoreKeys.decommissionBatch("cask-0", 3, 1),
                                new StoredValue.DecommissionRecord(
                                        StoredValue.DecommissionState.DELETE,
                                        "silent",
                                        List.of("vm-000001", "vm-000002")))));
    }

    private static Stream<Arguments> jobValues(List<SliceAssignment> assignments) {
        return Stream.of(
                Arguments.of("job.json", StoreKeys.job("wk-000412"), new StoredValue.JobRecord(job(), assignments, 0)),
                Arguments.of(
                        "job-cancelled.json",
                        StoreKeys.job("wk-000412"),
                        new StoredValue.JobRecord(
                                job(), List.of(new SliceAssignment("cask-0", 0, 16)), 1764668500000L)),
                Arguments.of(
                        "final-done.json",
                        StoreKeys.jobResult("wk-000412"),
                        new StoredValue.JobResult(false, 1764668600001L)),
                Arguments.of(
                        "final-cancelled.json",
                        StoreKeys.jobResult("wk-1"),
                        new StoredValue.JobResult(true, 1764668600002L)),
                Arguments.of("slice.json", StoreKeys.slice("wk-000412", 1), slice()),
                Arguments.of(
                        "slice-new.json",
                        StoreKeys.slice("wk-000412", 0),
                        new StoredValue.Slice("cask-1", 0, 20, 0, new BitSet(), List.of())));
    }

    @ParameterizedTest
    @MethodSource("values")
    void valuesStoredByVersion01AreRead(String file, String key, StoredValue value) throws IOException {
        assertEquals(value, StoredValueCodec.decode(key, Json.parse(recorded(file))));
    }

    /** Only a presence differs from what version 0.1 writes: it holds the schema version. */
    @ParameterizedTest
    @MethodSource("values")
    void valuesWithoutNewFieldsAreWrittenAsVersion01WritesThem(String file, String key, StoredValue value)
            throws IOException {
        String written = new String(StoredValueCodec.encode(value), StandardCharsets.UTF_8);
        String expected = new String(recorded(file), StandardCharsets.UTF_8);
        if (value instanceof StoredValue.Presence) {
            expected = expected.replace("}", ",\"format\":1}");
        }
        assertEquals(expected, written);
    }

    @Test
    void peerStatusIsTheSameInBothVersions() throws IOException {
        PeerStatus status = new PeerStatus(
                "cask-0",
                9,
                true,
                List.of("wk-000007"),
                List.of(new PeerStatus.MachineStatus("vm-000001", "10.1.0.1:9000", "g8", "east", true, 3, 9)));
        assertEquals(status, PeerProtocol.parseStatus(recorded("peer-status.msgpack")));
        assertArrayEquals(recorded("peer-status.msgpack"), PeerProtocol.encodeStatus(status));
    }

    @ParameterizedTest
    @CsvSource({
        "job.json, dewlane/job/wk-000412",
        "slice.json, dewlane/slice/wk-000412/0",
        "map.json, dewlane/map",
        "machines.json, dewlane/machine/+n-1-1"
    })
    void fieldsOfANewerVersionArePreservedByARewrite(String file, String key) throws IOException {
        Map<String, Object> in = Json.parse(recorded(file));
        in.put("newer", Map.of("list", List.of(1L, "two", true, 2.5)));
        StoredValue value = StoredValueCodec.decode(key, in);
        Map<String, Object> again = Json.parse(StoredValueCodec.encode(value));
        assertEquals(in, again);
    }

    @Test
    void jobWithoutDependenciesOmitsTheirField() {
        StoredValue.JobRecord plain = new StoredValue.JobRecord(job(), List.of(), 0);
        assertTrue(!new String(StoredValueCodec.encode(plain), StandardCharsets.UTF_8).contains("awaits"));
        StoredValue.JobRecord waiting =
                new StoredValue.JobRecord(job().withDependencies(List.of("wk-000398", "wk-7")), List.of(), 0);
        StoredValue read =
                StoredValueCodec.decode(StoreKeys.job("wk-000412"), parsed(StoredValueCodec.encode(waiting)));
        assertEquals(
                waiting.job().dependencies().size(),
                ((StoredValue.JobRecord) read).job().dependencies().size());
        assertTrue(((StoredValue.JobRecord) read).job().dependencies().containsAll(List.of("wk-000398", "wk-7")));
    }

    private static Map<String, Object> parsed(byte[] json) {
        try {
            return Json.parse(json);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "dewlane/job/wk-1 | {\"id\":\"wk-1\",\"priority\":\"FROM_TOMORROW\",\"tasks\":1}",
                "dewlane/job/wk-1 | {}",
                "dewlane/job/wk-1 | {\"id\":\"wk-1\",\"priority\":\"HIGH\",\"tasks\":1,\"awaits\":[\"wk-2\"]}",
                "dewlane/job/wk-1 | {\"id\":\"wk-1\",\"priority\":\"HIGH\",\"tasks\":1,\"awaits\":\"6:-\"}",
                "dewlane/slice/wk-1/0 | {\"owner\":\"n0\"}",
                "dewlane/slice/wk-1/0 | {\"owner\":\"n0\",\"first\":0,\"count\":2,\"done\":\"0-x\"}",
                "dewlane/final/wk-1 | {\"at\":7}",
                "dewlane/map | {\"epoch\":\"one\"}",
                "dewlane/machine/vm-1 | {\"fate\":\"SOLD\"}"
            })
    void malformedValueIsUnreadable(String key, String json) throws IOException {
        StoredValue value = StoredValueCodec.decode(key, Json.parse(json.getBytes(StandardCharsets.UTF_8)));
        assertInstanceOf(StoredValue.Unreadable.class, value);
    }

    @Test
    void keysOfANewerVersionAreIgnored() throws IOException {
        String final1 = new String(recorded("final-done.json"), StandardCharsets.UTF_8);
        StoreProtocol.Events events =
                StoreProtocol.parseEvents(("{\"ledger\":9,\"log\":[{\"set\":\"dewlane/newer/1\",\"value\":{},"
                                + "\"entry\":8},{\"delete\":\"dewlane/newer/2\",\"entry\":8},"
                                + "{\"set\":\"dewlane/final/wk-1\",\"value\":" + final1 + ",\"entry\":9}]}")
                        .getBytes(StandardCharsets.UTF_8));
        assertEquals(
                List.of(StoreKeys.jobResult("wk-1")),
                events.changes().stream().map(Input.KeyChange::key).toList());
        StoreProtocol.Page page = StoreProtocol.parsePage(
                ("{\"rows\":[{\"key\":\"dewlane/newer/1\",\"value\":{},\"entry\":8}]," + "\"more\":true,\"ledger\":9}")
                        .getBytes(StandardCharsets.UTF_8));
        assertEquals(List.of(), page.rows());
        assertEquals("dewlane/newer/1", page.lastKey());
    }

    @Test
    void hundredsOfJobIdsAreEncodedInLessThan1000Characters() {
        List<String> ids = IntStream.range(0, 300)
                .mapToObj(i -> String.format("wk-%06d", (i * 7919L) % 1_000_000))
                .toList();
        String text = JobIdListCodec.write(ids);
        assertTrue(text.length() < 1000, text.length() + " characters");
        assertEquals(ids.stream().sorted().toList(), JobIdListCodec.read(text));
        List<String> odd = List.of("wk-0", "wk-00", "wk-31", "wk-32", "wk-999999999999999999999999999999");
        assertEquals(
                odd.stream().sorted().toList(),
                JobIdListCodec.read(JobIdListCodec.write(odd)).stream().sorted().toList());
        assertEquals(List.of(), JobIdListCodec.read(null));
    }
}
