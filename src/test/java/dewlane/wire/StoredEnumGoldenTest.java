package dewlane.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewlane.core.model.Job;
import dewlane.core.model.JobBuilder;
import dewlane.core.model.Priority;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.DecommissionState;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** The names of enum constants in stored values. They must not change when a Java constant is renamed. */
class StoredEnumGoldenTest {
    private static StoredValue.JobRecord jobRecord(Priority priority) {
        Job job = JobBuilder.job("wk-1").priority(priority).build();
        return new StoredValue.JobRecord(job, List.of(), 0);
    }

    private static String jobJson(String priority) {
        return """
                {"id":"wk-1","lot":"lot","team":"blue","priority":"%s","tasks":1,"cpus":1.0,"gpus":0.0,"memory":1.0,\
                "image":"image","imageGb":1.0,"types":[],"oneZone":false,"spread":false,"spot":true,"estimate":10.0,\
                "checkpoint":0.0,"save":0.0,"deadline":0.0,"accepted":0,"deals":[]}"""
                .formatted(priority);
    }

    private static String decommissionJson(String fate) {
        return "{\"fate\":\"" + fate + "\",\"reason\":\"silent\"}";
    }

    private static StoredValue decode(String key, String json) throws IOException {
        return StoredValueCodec.decode(key, Json.parse(GoldenMessages.bytes(json)));
    }

    @ParameterizedTest
    @CsvSource({"IDLE, IDLE", "STANDARD, STANDARD", "HIGH, HIGH", "CRITICAL, CRITICAL"})
    void priorityHasItsStoredName(String name, Priority priority) throws IOException {
        GoldenMessages.assertMessage(jobJson(name), StoredValueCodec.encode(jobRecord(priority)));
        assertEquals(jobRecord(priority), decode(StoreKeys.job("wk-1"), jobJson(name)));
    }

    @ParameterizedTest
    @CsvSource({"RETURN, SCALE_IN", "DELETE, DELETE", "GONE, TERMINATED"})
    void decommissionStateHasItsStoredName(String name, DecommissionState state) throws IOException {
        StoredValue.DecommissionRecord record = new StoredValue.DecommissionRecord(state, "silent", List.of());
        GoldenMessages.assertMessage(decommissionJson(name), StoredValueCodec.encode(record));
        assertEquals(record, decode(StoreKeys.decommission("vm-1"), decommissionJson(name)));
    }

    @ParameterizedTest
    @EnumSource
    void everyPriorityIsDecodedToItself(Priority priority) {
        assertEquals(priority, StoredEnumCodec.decodePriority(StoredEnumCodec.encode(priority)));
    }

    @ParameterizedTest
    @EnumSource
    void everyDecommissionStateIsDecodedToItself(DecommissionState state) {
        assertEquals(state, StoredEnumCodec.decodeDecommissionState(StoredEnumCodec.encode(state)));
    }

    @ParameterizedTest
    @CsvSource({"URGENT", "high", "''"})
    void valueWithAnUnknownPriorityIsUnreadable(String name) throws IOException {
        StoredValue expected =
                new StoredValue.Unreadable("field priority: expected IDLE, STANDARD, HIGH or CRITICAL, got " + name);
        assertEquals(expected, decode(StoreKeys.job("wk-1"), jobJson(name)));
    }

    @ParameterizedTest
    @CsvSource({"SOLD", "gone", "''"})
    void valueWithAnUnknownDecommissionStateIsUnreadable(String name) throws IOException {
        StoredValue expected = new StoredValue.Unreadable("field fate: expected RETURN, DELETE or GONE, got " + name);
        assertEquals(expected, decode(StoreKeys.decommission("vm-1"), decommissionJson(name)));
    }
}
