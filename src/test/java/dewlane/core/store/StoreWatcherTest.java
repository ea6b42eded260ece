package dewlane.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.config.TestSettings;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.JobBuilder;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.JobRecord;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Whatever happens to one answer of the store, the replica is brought up to date again. */
class StoreWatcherTest {
    private static final long TICK_MS = 100;

    private final ControllerContext context = new ControllerContext(TestSettings.singleController(), 1);
    /** The id of the job whose changes the listener fails to handle, if any. */
    private String failingJob;

    private final StoreReplica replica = new StoreReplica(this::onChange);
    private final ReplicaFreshness freshness = new ReplicaFreshness(context);
    private final ReadBarrier barrier = new ReadBarrier(context, replica);
    private final StoreWatcher watcher = new StoreWatcher(
            context, replica, new StoreConnectivity(context), freshness, barrier, new ControllerCounters());
    private final List<String> jobsNotified = new ArrayList<>();
    private long now = 1000;

    private void onChange(ReplicaChange change) {
        if (change instanceof ReplicaChange.JobChanged job && job.after() != null) {
            if (job.job().id().equals(failingJob)) {
                throw new StackOverflowError("injected");
            }
            jobsNotified.add(job.job().id());
        }
    }

    @BeforeEach
    void load() {
        advance(0);
        watcher.tick();
        assertEquals(1, take(Effect.ListStore.class).size());
        watcher.onListed(new Input.StoreListed(List.of(), 10, 10));
    }

    private void advance(long ms) {
        now += ms;
        context.beginInput(now, now);
    }

    private <T extends Effect> List<T> take(Class<T> type) {
        return context.takeEffects().stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    private <T extends Effect> List<T> takeAfterTicks(int ticks, Class<T> type) {
        for (int i = 0; i < ticks; i++) {
            advance(TICK_MS);
            watcher.tick();
        }
        return take(type);
    }

    private static JobRecord record(String job) {
        return new JobRecord(JobBuilder.job(job).build(), List.of(), 0);
    }

    private static Input.WatchEvents events(long watch, long revision, String... jobs) {
        List<Input.KeyChange> changes = new ArrayList<>();
        for (String job : jobs) {
            changes.add(new Input.KeyChange(StoreKeys.job(job), record(job), revision));
        }
        return new Input.WatchEvents(watch, changes, revision);
    }

    private static Input.StoreListed listing(long revision, String... jobs) {
        List<Input.StoreRow> rows = new ArrayList<>();
        for (String job : jobs) {
            rows.add(new Input.StoreRow(StoreKeys.job(job), record(job), revision));
        }
        return new Input.StoreListed(rows, revision, revision);
    }

    /** Guards against a watch that is never requested again after an error while its answer is applied. */
    @Test
    void errorWhileChangesAreAppliedLeadsToNewListing() {
        long watch = take(Effect.Watch.class).get(0).id();
        failingJob = "bad";
        assertThrows(StackOverflowError.class, () -> watcher.onEvents(events(watch, 11, "one", "bad", "two")));
        assertEquals(List.of("one", "two"), jobsNotified, "the other changes of the answer are applied");
        assertFalse(watcher.isCaughtUp(), "the replica may lack the change that failed");
        failingJob = null;
        assertEquals(1, takeAfterTicks(10, Effect.ListStore.class).size());
        watcher.onListed(listing(11, "one", "bad", "two"));
        assertTrue(watcher.isCaughtUp());
        assertEquals(11, take(Effect.Watch.class).get(0).afterRevision());
    }

    /** Guards against a replica that counts as fresh although a change could not be applied. */
    @Test
    void failedUpdateDoesNotCountAsFresh() {
        long watch = take(Effect.Watch.class).get(0).id();
        advance(3000);
        failingJob = "bad";
        assertThrows(StackOverflowError.class, () -> watcher.onEvents(events(watch, 11, "bad")));
        assertEquals(10, replica.revision());
        assertTrue(freshness.ageMs() >= 3000);
    }

    /** Guards against controllers that never start again because of one stored value. */
    @Test
    void listedValueThatCannotBeAppliedHoldsUpOnlyItsJob() {
        failingJob = "bad";
        assertThrows(StackOverflowError.class, () -> watcher.onListed(listing(12, "one", "bad", "two")));
        assertTrue(watcher.isCaughtUp());
        assertTrue(replica.isUnreadable("bad"));
        assertFalse(replica.isUnreadable("one"));
        assertTrue(jobsNotified.containsAll(List.of("one", "two")));
        assertFalse(take(Effect.Watch.class).isEmpty());
    }

    /** Guards against listings without end: the pause doubles while the same change fails again and again. */
    @Test
    void pauseBeforeListingGrowsWhileUpdatesFail() {
        List<Long> pausesMs = new ArrayList<>();
        failingJob = "bad";
        for (int failure = 0; failure < 4; failure++) {
            long watch = take(Effect.Watch.class).get(0).id();
            advance(10 * TICK_MS);
            assertThrows(StackOverflowError.class, () -> watcher.onEvents(events(watch, 11, "bad")));
            long failedAtMs = now;
            while (take(Effect.ListStore.class).isEmpty()) {
                advance(TICK_MS);
                watcher.tick();
            }
            pausesMs.add(now - failedAtMs);
            watcher.onListed(listing(10, "one"));
        }
        assertEquals(List.of(500L, 1000L, 2000L, 4000L), pausesMs);
    }

    /** Guards against a controller that waits for ever for the answer to a lost watch. */
    @Test
    void watchThatIsNeverAnsweredIsReplaced() {
        long lost = take(Effect.Watch.class).get(0).id();
        assertEquals(1, takeAfterTicks(150, Effect.ListStore.class).size());
        watcher.onListed(listing(20));
        long current = take(Effect.Watch.class).get(0).id();
        assertFalse(watcher.onEvents(events(lost, 11, "late")), "a late answer says nothing about the current watch");
        watcher.onWatchFailed(new Input.WatchFailed(lost, true));
        assertTrue(watcher.isCaughtUp());
        assertTrue(watcher.onEvents(events(current, 21, "one")));
    }

    /** Guards against listings after each pause of the process, when the answer has arrived but was not read yet. */
    @Test
    void pauseOfProcessDoesNotCountAsUnansweredWatch() {
        long watch = take(Effect.Watch.class).get(0).id();
        advance(60_000);
        assertEquals(List.of(), takeAfterTicks(1, Effect.ListStore.class));
        assertTrue(watcher.onEvents(events(watch, 11, "one")));
    }

    /** Guards against two copies of all jobs in memory whenever the store is listed again. */
    @Test
    void listedValuesThatTheReplicaHoldsAreShared() {
        watcher.onListed(listing(11, "one", "two"));
        JobRecord held = replica.job("one").record();
        watcher.onPageListed(new Input.StorePageListed(listing(12, "one").rows()));
        watcher.onListed(listing(12, "two", "three"));
        assertSame(held, replica.job("one").record());
        assertEquals(12, replica.job("one").revision());
        assertEquals(3, replica.jobs().size());
    }

    /** Guards against jobs that count as unknown because a page of the listing was not handled. */
    @Test
    void listingThatLacksPageIsDiscarded() {
        take(Effect.Watch.class);
        watcher.onListed(listing(11, "one"));
        long watch = take(Effect.Watch.class).get(0).id();
        watcher.onWatchFailed(new Input.WatchFailed(watch, true));
        assertEquals(1, takeAfterTicks(10, Effect.ListStore.class).size());
        List<Input.StoreRow> malformed = Collections.singletonList(null);
        assertThrows(NullPointerException.class, () -> watcher.onPageListed(new Input.StorePageListed(malformed)));
        watcher.onPageListed(new Input.StorePageListed(listing(12, "two").rows()));
        watcher.onListed(listing(12, "three"));
        assertFalse(watcher.isCaughtUp());
        assertEquals(1, replica.jobs().size(), "the replica is unchanged");
        assertEquals(1, takeAfterTicks(10, Effect.ListStore.class).size(), "the store is listed again");
        watcher.onListed(listing(12, "one", "two", "three"));
        assertTrue(watcher.isCaughtUp());
        assertEquals(3, replica.jobs().size());
    }

    /** Guards against pages of a failed listing that become part of the next one. */
    @Test
    void pagesOfFailedListingAreDropped() {
        watcher.onPageListed(
                new Input.StorePageListed(listing(12, "deleted meanwhile").rows()));
        watcher.onListFailed();
        watcher.onListed(listing(13, "one"));
        assertEquals(1, replica.jobs().size());
    }
}
