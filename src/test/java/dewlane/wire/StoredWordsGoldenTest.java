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

/** The words that stand for constants in stored values. They stay the same whatever the constants are called. */
class StoredWordsGoldenTest {
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

    private static String machineJson(String fate) {
        return "{\"fate\":\"" + fate + "\",\"reason\":\"silent\"}";
    }

    private static StoredValue decode(String key, String json) throws IOException {
        return StoredValueCodec.decode(key, Json.object(Golden.bytes(json)));
    }

    @ParameterizedTest
    @CsvSource({"IDLE, IDLE", "STANDARD, STANDARD", "HIGH, HIGH", "CRITICAL, CRITICAL"})
    void priorityHasItsWord(String word, Priority priority) throws IOException {
        Golden.assertMessage(jobJson(word), StoredValueCodec.encode(jobRecord(priority)));
        assertEquals(jobRecord(priority), decode(StoreKeys.job("wk-1"), jobJson(word)));
    }

    @ParameterizedTest
    @CsvSource({"RETURN, SCALE_IN", "DELETE, DELETE", "GONE, TERMINATED"})
    void fateOfAMachineHasItsWord(String word, DecommissionState fate) throws IOException {
        StoredValue.DecommissionRecord machine = new StoredValue.DecommissionRecord(fate, "silent", List.of());
        Golden.assertMessage(machineJson(word), StoredValueCodec.encode(machine));
        assertEquals(machine, decode(StoreKeys.decommission("vm-1"), machineJson(word)));
    }

    @ParameterizedTest
    @EnumSource
    void everyPriorityIsReadAsItIsWritten(Priority priority) {
        assertEquals(priority, StoredWords.priority(StoredWords.word(priority)));
    }

    @ParameterizedTest
    @EnumSource
    void everyFateIsReadAsItIsWritten(DecommissionState fate) {
        assertEquals(fate, StoredWords.decommissionState(StoredWords.word(fate)));
    }

    @ParameterizedTest
    @CsvSource({"URGENT", "high", "''"})
    void valueWithAnUnknownPriorityIsUnreadable(String word) throws IOException {
        StoredValue expected = new StoredValue.Unreadable("unknown priority " + word);
        assertEquals(expected, decode(StoreKeys.job("wk-1"), jobJson(word)));
    }

    @ParameterizedTest
    @CsvSource({"SOLD", "gone", "''"})
    void valueWithAnUnknownFateIsUnreadable(String word) throws IOException {
        StoredValue expected = new StoredValue.Unreadable("unknown fate of a machine " + word);
        assertEquals(expected, decode(StoreKeys.decommission("vm-1"), machineJson(word)));
    }
}
