package dewlane.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewlane.core.config.Settings;
import dewlane.core.config.TestSettings;
import dewlane.core.message.Input;
import dewlane.core.model.Job;
import dewlane.core.model.JobBuilder;
import dewlane.core.model.Priority;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which jobs are within their team's guarantee. */
class QuotaEnforcerTest {
    private final Settings settings = TestSettings.of(
            List.of(),
            Map.of("blue", new Settings.TeamQuota("blue", 20, 0, 0, 0)),
            TestSettings.CANCELLATION_DEADLINE_S,
            TestSettings.STORE_LIMITS);
    private final StoreReplica replica = new StoreReplica(delta -> {});
    private final List<JobEntry> ready = new ArrayList<>();

    private void acceptJob(String id, Priority priority, int tasks) {
        Job job = JobBuilder.job(id)
                .priority(priority)
                .tasks(tasks)
                .cpus(2)
                .acceptedAtMs(1)
                .build();
        replica.apply(new Input.KeyChange(StoreKeys.job(id), new JobRecord(job, List.of(), 0), ready.size() + 1));
        ready.add(replica.job(id));
    }

    private Set<String> guaranteedJobs() {
        return new QuotaEnforcer(settings, replica, null).jobsWithinGuarantee(ready);
    }

    /**
     * Guards against a backlog of idle jobs, which are the oldest, using up the guarantee before jobs with a deadline.
     */
    @Test
    void idleJobsGetOnlyWhatOtherJobsLeaveOfGuarantee() {
        acceptJob("old-idle", Priority.IDLE, 6);
        acceptJob("standard", Priority.STANDARD, 7);
        assertEquals(Set.of("standard"), guaranteedJobs());
        acceptJob("small-idle", Priority.IDLE, 3);
        assertEquals(Set.of("standard"), guaranteedJobs(), "a job does not overtake an earlier one of idle priority");
    }

    @Test
    void jobsThatFitBesideEarlierOnesAreWithinGuarantee() {
        acceptJob("first", Priority.HIGH, 5);
        acceptJob("idle", Priority.IDLE, 2);
        acceptJob("second", Priority.STANDARD, 3);
        assertEquals(Set.of("first", "second", "idle"), guaranteedJobs());
        acceptJob("third", Priority.HIGH, 3);
        assertEquals(Set.of("first", "second"), guaranteedJobs());
    }
}
