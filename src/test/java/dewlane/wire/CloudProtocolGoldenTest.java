package dewlane.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewlane.core.message.Effect;
import dewlane.core.model.CloudInstance;
import dewlane.core.model.CloudInstance.State;
import dewlane.core.model.MachineType;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The exact messages of the protocol of the cloud. A change to the code that reads or writes them must not alter them.
 */
class CloudProtocolGoldenTest {
    private static final String MACHINE_TYPES =
            """
            {"racks":[{"name":"g8","vcpus":96,"gpus":8,"ramGb":768.5,"cacheGb":200,"fetchGbPerS":0.5,"hourly":12.25,\
            "marketPrice":4.5,"readyS":45,"cellars":["a","b"]},\
            {"name":"c2","vcpus":2,"ramGb":8,"cacheGb":20,"fetchGbPerS":0.25,"hourly":0.1,"marketPrice":0.03,\
            "readyS":30,"cellars":[]}]}""";

    private static final String PAGE =
            """
            {"casks":[{"uid":"vm-1","address":"10.1.0.1:9000","rack":"g8","cellar":"a","consignment":true,\
            "condition":"running","heldS":61.5},\
            {"uid":"vm-2","address":null,"rack":"c2","cellar":"b","consignment":false,"condition":"starting"},\
            {"uid":"vm-3","address":"10.1.0.3:9000","rack":"c2","cellar":"b","consignment":false,\
            "condition":"failed","heldS":7},\
            {"uid":"vm-4","address":"10.1.0.4:9000","rack":"c2","cellar":"b","consignment":false,\
            "condition":"a word of a newer cloud","heldS":8}],"more":true}""";

    @Test
    void pathsAreFixed() {
        assertEquals("/catalog", CloudProtocol.MACHINE_TYPES_PATH);
        assertEquals("/machines", CloudProtocol.INSTANCES_PATH);
        assertEquals("/machines/delete", CloudProtocol.DELETE_PATH);
        assertEquals(100, Effect.DeleteInstances.MAX_INSTANCES);
        assertEquals("/machines?limit=500", CloudProtocol.pagePath((String) null));
        assertEquals("/machines?limit=500&since=vm-000231", CloudProtocol.pagePath("vm-000231"));
    }

    @Test
    void machineTypesAreRead() throws IOException {
        List<MachineType> expected = List.of(
                new MachineType("g8", 96, 8, 768.5, 200, 0.5, 12.25, 4.5, 45, List.of("a", "b")),
                new MachineType("c2", 2, 0, 8, 20, 0.25, 0.1, 0.03, 30, List.of()));
        assertEquals(expected, CloudProtocol.parseMachineTypes(GoldenMessages.bytes(MACHINE_TYPES)));
    }

    @Test
    void pageOfInstancesInEveryStateIsRead() throws IOException {
        List<CloudInstance> machines = List.of(
                new CloudInstance("vm-1", "10.1.0.1:9000", "g8", "a", true, State.RUNNING, 61.5),
                new CloudInstance("vm-2", null, "c2", "b", false, State.STARTING, 0),
                new CloudInstance("vm-3", "10.1.0.3:9000", "c2", "b", false, State.FAILED, 7),
                new CloudInstance("vm-4", "10.1.0.4:9000", "c2", "b", false, State.STARTING, 8));
        assertEquals(new CloudProtocol.Page(machines, true), CloudProtocol.parsePage(GoldenMessages.bytes(PAGE)));
    }

    @Test
    void lastPageIsRead() throws IOException {
        byte[] body = GoldenMessages.bytes("{\"casks\":[],\"more\":false}");
        assertEquals(new CloudProtocol.Page(List.of(), false), CloudProtocol.parsePage(body));
    }

    @ParameterizedTest
    @CsvSource({"true, 3", "false, 1"})
    void createRequestIsWritten(boolean spot, int count) {
        String expected = "{\"indent\":\"cask-0-4-17\",\"rack\":\"g8\",\"cellar\":\"a\",\"consignment\":" + spot
                + ",\"count\":" + count + "}";
        GoldenMessages.assertMessage(expected, CloudProtocol.createRequest("cask-0-4-17", "g8", "a", spot, count));
    }

    @Test
    void createdInstancesAreRead() throws IOException {
        byte[] body = GoldenMessages.bytes("{\"casks\":[\"vm-000231\",\"vm-000232\"]}");
        assertEquals(List.of("vm-000231", "vm-000232"), CloudProtocol.parseCreatedInstances(body));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"error\":\"no capacity\"} | true",
                "{\"error\":\"outage\"}      | false",
                "{}                          | false",
                "no JSON                     | false"
            })
    void lackOfCapacityIsRecognized(String body, boolean expected) {
        assertEquals(expected, CloudProtocol.isNoCapacity(GoldenMessages.bytes(body)));
    }

    @Test
    void deleteRequestIsWritten() {
        byte[] message = CloudProtocol.deleteRequest(List.of("vm-000231", "vm-000232"));
        GoldenMessages.assertMessage("{\"casks\":[\"vm-000231\",\"vm-000232\"]}", message);
    }
}
