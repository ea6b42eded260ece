package dewlane.wire;

import dewlane.core.model.JobBuilder;
import java.util.List;

/** The job that the tests of the protocols and stored values start from. */
final class SampleJob {
    private SampleJob() {}

    /** Returns a job with default priority that allows spot instances, is not accepted yet and has no dependencies. */
    static JobBuilder builder() {
        return JobBuilder.job("wk-000412")
                .jobClass("train")
                .team("vision")
                .tasks(16)
                .cpus(8)
                .gpus(1)
                .memoryGb(64)
                .image("img-07")
                .imageGb(6.2)
                .types(List.of("g8", "g4"))
                .zone("east")
                .sameZone(true)
                .expectedRunS(240)
                .checkpointIntervalS(30)
                .checkpointDurationS(4)
                .deadlineS(900);
    }
}
