package dewlane.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dewlane.core.message.Input.KeyChange;
import dewlane.core.message.Input.StoreRow;
import dewlane.core.model.Attempt;
import dewlane.core.model.Job;
import dewlane.core.model.Priority;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.UnknownFields;
import java.io.IOException;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The exact messages of the store's protocol, with every kind of value in both directions. A change to the code that
 * reads or writes them must not alter them.
 */
class StoreProtocolGoldenTest {
    private static final String JOB =
            """
            {"id":"wk-000412","lot":"train","team":"vision","priority":"STANDARD","tasks":16,"cpus":8.5,"gpus":1.0,\
            "memory":64.0,"image":"img-07","imageGb":6.2,"types":["g8","g4"],"zone":"east","oneZone":true,\
            "spread":false,"spot":true,"estimate":240.0,"checkpoint":30.0,"save":4.0,"deadline":900.0,\
            "accepted":1764668400123,"awaits":"1:7;6:oC","deals":["cask-0",0,10,"cask-1",10,6],\
            "aborted":1764668500000,"newer":[1,"two"]}""";

    private static final String SLICE =
            """
            {"owner":"cask-1","first":40,"count":20,"launches":3,"done":"0-4,7","live":[\
            [3,1764668450000,77,"vm-1",2,0,"5,8-9","vm-2",1,-1,"6"],[2,1764668440000,70,"vm-1",2,0,"11"]],\
            "newer":{"a":true}}""";

    private static final String PARTITION_MAP =
            """
            {"epoch":5,"members":{"cask-0":4,"cask-1":5},"moved":{"vm-1":"cask-1"},\
            "loans":["blue","cask-0",1.5,0.0,"blue","cask-1",-1.5,0.0],"formats":{"cask-0":2},"newer":2.5}""";

    private static final String JOB_RESULT = "{\"aborted\":true,\"at\":1764668600001}";
    private static final String PRESENCE = "{\"incarnation\":4,\"format\":2}";
    private static final String TEAM_USAGE = "{\"cpus\":12.5,\"gpus\":2.0}";
    private static final String DECOMMISSIONS =
            "{\"fate\":\"RETURN\",\"reason\":\"idle\",\"names\":[\"vm-1\",\"vm-2\"],\"newer\":null}";

    private static UnknownFields newer(Object value) {
        return new UnknownFields(Map.of("newer", value));
    }

    private static StoredValue.JobRecord jobRecord() {
        Job job = SampleJob.builder()
                .priority(Priority.STANDARD)
                .cpus(8.5)
                .acceptedAtMs(1_764_668_400_123L)
                .build()
                .withDependencies(List.of("wk-7", "wk-000398"));
        List<StoredValue.SliceAssignment> assignments = List.of(
                new StoredValue.SliceAssignment("cask-0", 0, 10), new StoredValue.SliceAssignment("cask-1", 10, 6));
        return new StoredValue.JobRecord(job, assignments, 1_764_668_500_000L, newer(List.of(1L, "two")));
    }

    private static StoredValue.Slice slice() {
        BitSet done = new BitSet();
        done.set(0, 5);
        done.set(7);
        List<Attempt> attempts = List.of(
                new Attempt(45, 3, "vm-1", 2, 77, 1_764_668_450_000L),
                new Attempt(48, 3, "vm-1", 2, 77, 1_764_668_450_000L),
                new Attempt(49, 3, "vm-1", 2, 77, 1_764_668_450_000L),
                new Attempt(46, 3, "vm-2", 1, 76, 1_764_668_450_000L),
                new Attempt(51, 2, "vm-1", 2, 70, 1_764_668_440_000L));
        return new StoredValue.Slice("cask-1", 40, 20, 3, done, attempts, newer(Map.of("a", true)));
    }

    private static StoredValue.PartitionMap partitionMap() {
        return new StoredValue.PartitionMap(
                5,
                List.of(new StoredValue.Member("cask-0", 4), new StoredValue.Member("cask-1", 5)),
                Map.of("vm-1", "cask-1"),
                List.of(
                        new StoredValue.QuotaTransfer("blue", "cask-0", 1.5, 0),
                        new StoredValue.QuotaTransfer("blue", "cask-1", -1.5, 0)),
                Map.of("cask-0", 2),
                newer(2.5));
    }

    private static StoredValue.DecommissionRecord decommissionRecord() {
        UnknownFields unknown = new UnknownFields(Collections.singletonMap("newer", null));
        return new StoredValue.DecommissionRecord(
                StoredValue.DecommissionState.SCALE_IN, "idle", List.of("vm-1", "vm-2"), unknown);
    }

    private static Stream<Arguments> values() {
        return Stream.of(
                Arguments.of("dewlane/job/wk-000412", JOB, jobRecord()),
                Arguments.of(
                        "dewlane/final/wk-000412", JOB_RESULT, new StoredValue.JobResult(true, 1_764_668_600_001L)),
                Arguments.of("dewlane/slice/wk-000412/2", SLICE, slice()),
                Arguments.of("dewlane/map", PARTITION_MAP, partitionMap()),
                Arguments.of("dewlane/node/cask-0", PRESENCE, new StoredValue.Presence(4, 2)),
                Arguments.of("dewlane/team/vision", TEAM_USAGE, new StoredValue.TeamUsageRecord(12.5, 2)),
                Arguments.of("dewlane/machine/+cask-0-3-1", DECOMMISSIONS, decommissionRecord()));
    }

    @Test
    void pathsAreFixed() {
        assertEquals("/txn", StoreProtocol.TRANSACTION_PATH);
        assertEquals("/grants", StoreProtocol.LEASES_PATH);
        assertEquals("/store/dewlane/map", StoreProtocol.valuePath("dewlane/map"));
        assertEquals(
                "/store?prefix=dewlane/&since=dewlane/final0&limit=200",
                StoreProtocol.listPath("dewlane/", "dewlane/final0", 200));
        assertEquals("/watch?prefix=dewlane/&since=88&blockMs=5000", StoreProtocol.watchPath("dewlane/", 88, 5000));
        assertEquals("/grants/17/touch", StoreProtocol.renewalPath(17));
    }

    @Test
    void leaseIsRequestedAndGranted() throws IOException {
        GoldenMessages.assertMessage("{\"ttlMs\":10000}", StoreProtocol.grantRequest(10_000));
        assertEquals(17, StoreProtocol.parseGrantedLease(GoldenMessages.bytes("{\"tenancy\":17}")));
    }

    @Test
    void revisionIsRead() throws IOException {
        assertEquals(5_000_000_001L, StoreProtocol.parseRevision(GoldenMessages.bytes("{\"ledger\":5000000001}")));
    }

    @ParameterizedTest
    @MethodSource("values")
    void everyValueIsReadFromItsKey(String key, String json, StoredValue value) throws IOException {
        byte[] body = GoldenMessages.bytes("{\"value\":" + json + ",\"entry\":41,\"ledger\":50}");
        assertEquals(new StoreRow(key, value, 41), StoreProtocol.parseRow(key, body));
    }

    @ParameterizedTest
    @MethodSource("values")
    void everyValueIsWritten(String key, String json, StoredValue value) {
        Transaction transaction = new Transaction.Builder().put(key, value).build();
        String expected = "{\"when\":[],\"apply\":[{\"set\":\"" + key + "\",\"value\":" + json + "}]}";
        GoldenMessages.assertMessage(expected, StoreProtocol.transactionRequest(transaction));
    }

    @Test
    void unreadableValueIsNeverWritten() {
        Transaction transaction = new Transaction.Builder()
                .put("dewlane/map", new StoredValue.Unreadable("x"))
                .build();
        assertThrows(IllegalArgumentException.class, () -> StoreProtocol.transactionRequest(transaction));
    }

    @Test
    void transactionWithEveryKindOfPreconditionAndWriteIsWritten() {
        Transaction transaction = new Transaction.Builder()
                .require("dewlane/map", 7)
                .require("dewlane/team/vision", 0)
                .put("dewlane/team/vision", new StoredValue.TeamUsageRecord(12.5, 2))
                .putWithLease("dewlane/node/cask-0", new StoredValue.Presence(4, 2), 17)
                .delete("dewlane/job/wk-1")
                .build();
        String expected =
                """
                {"when":[{"key":"dewlane/map","entry":7},{"key":"dewlane/team/vision","entry":0}],"apply":[\
                {"set":"dewlane/team/vision","value":{"cpus":12.5,"gpus":2.0}},\
                {"set":"dewlane/node/cask-0","value":{"incarnation":4,"format":2},"tenancy":17},\
                {"delete":"dewlane/job/wk-1"}]}""";
        GoldenMessages.assertMessage(expected, StoreProtocol.transactionRequest(transaction));
    }

    @Test
    void pageOfKeysIsRead() throws IOException {
        String body = "{\"rows\":[{\"key\":\"dewlane/map\",\"value\":" + PARTITION_MAP + ",\"entry\":8},"
                + "{\"key\":\"dewlane/team/vision\",\"value\":" + TEAM_USAGE + ",\"entry\":9}],"
                + "\"more\":true,\"ledger\":50}";
        List<StoreRow> rows = List.of(
                new StoreRow("dewlane/map", partitionMap(), 8),
                new StoreRow("dewlane/team/vision", new StoredValue.TeamUsageRecord(12.5, 2), 9));
        StoreProtocol.Page expected = new StoreProtocol.Page(rows, "dewlane/team/vision", true, 50);
        assertEquals(expected, StoreProtocol.parsePage(GoldenMessages.bytes(body)));
    }

    @Test
    void emptyPageIsRead() throws IOException {
        byte[] body = GoldenMessages.bytes("{\"rows\":[],\"more\":false,\"ledger\":50}");
        assertEquals(new StoreProtocol.Page(List.of(), null, false, 50), StoreProtocol.parsePage(body));
    }

    @Test
    void changesAreRead() throws IOException {
        String body = "{\"log\":[{\"set\":\"dewlane/team/vision\",\"value\":" + TEAM_USAGE + ",\"entry\":48},"
                + "{\"delete\":\"dewlane/job/wk-1\",\"entry\":49}],\"ledger\":50}";
        List<KeyChange> changes = List.of(
                new KeyChange("dewlane/team/vision", new StoredValue.TeamUsageRecord(12.5, 2), 48),
                new KeyChange("dewlane/job/wk-1", null, 49));
        assertEquals(new StoreProtocol.Events(changes, 50), StoreProtocol.parseEvents(GoldenMessages.bytes(body)));
    }
}
