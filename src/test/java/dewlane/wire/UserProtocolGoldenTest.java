package dewlane.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.message.Effect.JobCondition;
import dewlane.core.message.Effect.JobStatus;
import dewlane.core.model.Job;
import dewlane.core.model.JobBuilder;
import dewlane.core.model.Priority;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The exact messages of the protocol between users and controllers. A change to the code that reads or writes them must
 * not alter them.
 */
class UserProtocolGoldenTest {
    private static final String EVERY_FIELD =
            """
            {"uid":"wk-000412","lot":"train","house":"vision","style":"batch","rank":"critical","bottles":16,\
            "vcpus":8.5,"gpus":1.25,"ramGb":64.0,"blend":"img-07","pullGb":6.2,"racks":["g8","g4"],"cellar":"east",\
            "samePlace":true,"scatter":false,"consignment":true,"maturingS":240.0,"rackingS":30.0,"corkingS":4.0,\
            "shipByS":900.0,"awaits":["wk-000398","wk-7"]}""";

    private static final String MINIMAL =
            """
            {"uid":"wk-1","lot":"l","house":"h","style":"batch","rank":"idle","bottles":1,"vcpus":1,"gpus":0,\
            "ramGb":2,"blend":"i","pullGb":3,"samePlace":false,"scatter":true,"consignment":false,"maturingS":4,\
            "rackingS":0,"corkingS":0}""";

    private static UserProtocol.Submission read(String body) {
        return UserProtocol.parseSubmission(GoldenMessages.bytes(body));
    }

    private static Job jobWithEveryField() {
        return SampleJob.builder()
                .priority(Priority.CRITICAL)
                .cpus(8.5)
                .gpus(1.25)
                .spreadZones(false)
                .spotAllowed(true)
                .build()
                .withDependencies(List.of("wk-000398", "wk-7"));
    }

    private static Job minimalJob() {
        return JobBuilder.job("wk-1")
                .jobClass("l")
                .team("h")
                .priority(Priority.IDLE)
                .tasks(1)
                .cpus(1)
                .gpus(0)
                .memoryGb(2)
                .image("i")
                .imageGb(3)
                .types(List.of())
                .zone(null)
                .sameZone(false)
                .spreadZones(true)
                .spotAllowed(false)
                .expectedRunS(4)
                .checkpointIntervalS(0)
                .checkpointDurationS(0)
                .deadlineS(0)
                .build();
    }

    @Test
    void pathsAreFixed() {
        assertEquals("/v2/runs", UserProtocol.JOBS_PATH);
        assertEquals("abort", UserProtocol.CANCEL_ACTION);
    }

    @Test
    void submissionWithEveryFieldIsRead() {
        assertEquals(new UserProtocol.Submission("wk-000412", jobWithEveryField(), null), read(EVERY_FIELD));
    }

    @Test
    void submissionWithOnlyTheRequiredFieldsIsRead() {
        assertEquals(new UserProtocol.Submission("wk-1", minimalJob(), null), read(MINIMAL));
    }

    @ParameterizedTest
    @CsvSource({"critical, CRITICAL", "high, HIGH", "standard, STANDARD", "idle, IDLE"})
    void everyPriorityIsRead(String rank, Priority priority) {
        String body = EVERY_FIELD.replace("\"rank\":\"critical\"", "\"rank\":\"" + rank + "\"");
        assertEquals(priority, read(body).job().priority());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[]                  | the body is not one JSON object",
                "{}{}                | the body is not one JSON object",
                "{}                  | uid must be a string such as wk-000412",
                "{\"uid\":\"run-1\"} | uid must be a string such as wk-000412"
            })
    void bodyWithoutAnIdIsRejectedWithTheReason(String body, String reason) {
        assertEquals(new UserProtocol.Submission(null, null, reason), read(body));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"lot\":\"train\"       | \"lot\":\"\"          | lot must be a string of 1 to 200 characters",
                "\"house\":\"vision\"    | \"house\":null        | house must be a string of 1 to 200 characters",
                "\"style\":\"batch\"     | \"style\":7           | style must be a string of 1 to 200 characters",
                "\"style\":\"batch\"     | \"style\":\"daemon\"  | style must be batch",
                "\"rank\":\"critical\"   | \"rank\":null         | rank must be a string of 1 to 200 characters",
                "\"rank\":\"critical\"   | \"rank\":\"urgent\"   | rank must be critical, high, standard or idle",
                "\"bottles\":16          | \"bottles\":100001    | bottles must be an integer from 1 to 100000",
                "\"vcpus\":8.5           | \"vcpus\":0           | vcpus must be a number above 0",
                "\"gpus\":1.25           | \"gpus\":-1           | gpus must be a number of at least 0",
                "\"ramGb\":64.0          | \"ramGb\":0           | ramGb must be a number above 0",
                "\"blend\":\"img-07\"    | \"blend\":[]          | blend must be a string of 1 to 200 characters",
                "\"pullGb\":6.2          | \"pullGb\":0          | pullGb must be a number above 0",
                "\"racks\":[\"g8\",      | \"racks\":[8,         | racks must be null or a list of machine types",
                "\"racks\":[\"g8\",      | \"racks\":[],\"x\":[  | racks must be null or a list of machine types",
                "\"cellar\":\"east\"     | \"cellar\":4          | cellar must be a string of 1 to 200 characters",
                "\"samePlace\":true      | \"samePlace\":1       | samePlace must be true or false",
                "\"scatter\":false       | \"scatter\":null      | scatter must be true or false",
                "\"consignment\":true    | \"consignment\":\"y\" | consignment must be true or false",
                "\"maturingS\":240.0     | \"maturingS\":0       | maturingS must be a number above 0",
                "\"rackingS\":30.0       | \"rackingS\":-1       | rackingS must be a number of at least 0",
                "\"corkingS\":4.0        | \"corkingS\":-1       | corkingS must be a number of at least 0",
                "\"shipByS\":900.0       | \"shipByS\":0         | shipByS must be a number above 0",
                "\"awaits\":[            | \"awaits\":7,\"x\":[  | awaits must be null or a list of job ids",
                "[\"wk-000398\",         | [\"run-1\",           "
                        + "| awaits must be null or a list of job ids such as wk-000412"
            })
    void badFieldIsRejectedWithTheReason(String good, String bad, String reason) {
        assertTrue(EVERY_FIELD.contains(good));
        UserProtocol.Submission expected = new UserProtocol.Submission("wk-000412", null, reason);
        assertEquals(expected, read(EVERY_FIELD.replace(good, bad)));
    }

    @ParameterizedTest
    @CsvSource({"PENDING, pending", "RUNNING, running", "DONE, done", "CANCELLED, aborted"})
    void statusOfAJobIsWritten(JobCondition condition, String name) {
        JobStatus status = new JobStatus("wk-000412", condition, 3, 13);
        String expected = "{\"uid\":\"wk-000412\",\"condition\":\"" + name + "\",\"done\":3,\"running\":13}";
        GoldenMessages.assertMessage(expected, UserProtocol.jobStatus(status));
    }

    @Test
    void errorIsWritten() {
        GoldenMessages.assertMessage(
                "{\"error\":\"no \\\"such\\\" house: Põhja\"}", UserProtocol.error("no \"such\" house: Põhja"));
    }
}
