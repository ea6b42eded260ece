package dewlane.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.Job;
import dewlane.core.JobBuilder;
import dewlane.core.Keys;
import dewlane.core.Partitions;
import dewlane.core.Priority;
import dewlane.core.Settings;
import dewlane.core.Value;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Failures that were found once, each played again from its start. */
class ControllerIsolationTest {
    private static SimCluster quietCluster(int machines) {
        return quietCluster(machines, 16);
    }

    private static SimCluster quietCluster(int machines, int txnOps) {
        return SimCluster.quiet(5, Map.of("blue", new Settings.Team("blue", 0, 0, 0, 0)), txnOps, machines);
    }

    private static Job job(int tasks, double cpus, List<String> types, boolean spot, double estimateS) {
        return JobBuilder.job("wk-000001")
                .tasks(tasks)
                .cpus(cpus)
                .types(types)
                .spot(spot)
                .estimateS(estimateS)
                .build();
    }

    /** Found by the random runs: a demand of a small part of a machine was rounded down to none, for ever. */
    @Test
    void theSmallestDemandThatNoMachineServesRentsOne() {
        SimCluster cluster = quietCluster(3);
        cluster.users.submit(job(1, 1, List.of("large"), false, 1));
        cluster.runUntil(120_000);
        assertNotNull(cluster.store.get(Keys.fin("wk-000001")));
    }

    /**
     * Found in a hunt: one-task jobs came faster than they could be written. Submissions that were refused were tried
     * again without end, each poll was a read, and with all requests and changes used up for that the controllers lost
     * their leases, and nothing that was accepted ran.
     */
    @Test
    void moreSmallJobsThanCanBeWrittenDoNotStopWhatWasAccepted() {
        SimCluster cluster = quietCluster(9);
        int jobs = 3000;
        for (int i = 0; i < jobs; i++) {
            Job job = SimFixtures.job(500_000 + i, Priority.HIGH, 1, 1, 1);
            cluster.after(20L * i, () -> cluster.users.submit(job));
        }
        for (int i = 0; i < 12_000; i++) {
            cluster.after(5L * i, cluster.users::pollRandomJob);
        }
        Value map = cluster.store.get(Keys.MAP);
        cluster.runUntil(70_000);
        int done = cluster.store.scan(Keys.FINALS).size();
        assertTrue(done >= 300, done + " of " + jobs + " jobs were done while they came");
        assertEquals(map, cluster.store.get(Keys.MAP), "no controller lost its lease");
        assertTrue(
                cluster.store.throttledRequests < cluster.store.requests / 10,
                cluster.store.throttledRequests + " of " + cluster.store.requests + " requests refused");
        cluster.runUntil(400_000);
        for (String id : cluster.users.accepted) {
            assertNotNull(cluster.store.get(Keys.fin(id)), id);
        }
    }

    /**
     * Found in a hunt: what users asked for during a long outage was tried again and again, and each try was owed by
     * the bucket of changes, so that nothing was launched for ten minutes after it.
     */
    @Test
    void whatIsAskedDuringAnOutageDoesNotHoldUpLaunchesAfterIt() {
        SimCluster cluster = quietCluster(9);
        for (int i = 0; i < 400; i++) {
            Job job = SimFixtures.job(500_000 + i, Priority.HIGH, 1, 1, 1);
            cluster.after(150L * i, () -> cluster.users.submit(job));
        }
        cluster.runUntil(12_000);
        int before = cluster.checker.taskStarts;
        assertTrue(before > 0);
        cluster.store.outage(70_000);
        cluster.runUntil(82_000);
        assertTrue(cluster.checker.taskStarts < before + 30, "the outage came about");
        cluster.runUntil(102_000);
        assertTrue(
                cluster.checker.taskStarts > before + 60,
                cluster.checker.taskStarts + " started, " + before + " before it");
    }

    /** Seen in a recorded incident: workers cut from their controller were sent back to it until their leases ended. */
    @Test
    void machinesCutFromTheirControllerMoveAndLoseNoTask() {
        SimCluster cluster = quietCluster(9);
        cluster.users.submit(job(18, 2, List.of(), true, 60));
        cluster.runUntil(25_000);
        assertEquals(18, cluster.checker.taskStarts);
        cluster.controllers.get("n0").cutFromWorkers = true;
        cluster.runUntil(200_000);
        assertEquals(18, cluster.checker.taskStarts, "every task ran on where it was");
        assertEquals(9, cluster.cloud.machines.size(), "no machine was deleted for its silence");
        assertNotNull(cluster.store.get(Keys.fin("wk-000001")));
    }

    /** Seen in the same incident: a controller came back from a cut and condemned what others had taken over. */
    @Test
    void aControllerThatWasCutOffCondemnsNothingOnItsReturn() {
        SimCluster cluster = quietCluster(9);
        cluster.users.submit(job(18, 2, List.of(), true, 80));
        cluster.runUntil(25_000);
        SimController controller = cluster.controllers.get("n1");
        controller.cutFromStore = true;
        controller.cutFromWorkers = true;
        cluster.runUntil(60_000);
        controller.cutFromStore = false;
        controller.cutFromWorkers = false;
        cluster.runUntil(90_000);
        assertEquals(Map.of(), cluster.store.scan(Keys.MACHINES));
        assertEquals(18, cluster.checker.taskStarts);
    }

    /** A controller alone stands still for longer than machines may be silent: what it slept through condemns none. */
    @Test
    void aControllerThatStoodStillCondemnsNothingWhenItWakes() {
        SimCluster cluster = quietCluster(9);
        cluster.controllers.get("n1").crash(600_000);
        cluster.controllers.get("n2").crash(600_000);
        cluster.runUntil(20_000);
        cluster.users.submit(job(18, 2, List.of(), true, 80));
        cluster.runUntil(35_000);
        // Nobody can take its part over: its lease stays for as long as the state service is out.
        cluster.store.outage(45_000);
        cluster.controllers.get("n0").freeze(44_000);
        cluster.runUntil(200_000);
        assertEquals(Map.of(), cluster.store.scan(Keys.MACHINES));
        for (int i = 1; i <= 9; i++) {
            assertTrue(cluster.cloud.machines.containsKey("vm-00000" + i), "machine " + i + " was not deleted");
        }
    }

    /**
     * Found in a day's log: each hand-over of waiting tasks made a slice, until a job had more of them than one
     * transaction may delete, and never ended.
     */
    @Test
    void aJobThatIsHandedOnManyTimesCanStillEnd() {
        SimCluster cluster = quietCluster(9, 8);
        cluster.cloud.capacity = 9;
        cluster.users.submit(job(600, 1, List.of(), true, 5));
        cluster.runUntil(400_000);
        assertNotNull(cluster.store.get(Keys.fin("wk-000001")));
        assertEquals(Map.of(), cluster.store.scan(Keys.SLICES));
    }

    @Test
    void aLargeJobOfSmallTasksStaysWithinTheLimitsOfTheStateService() {
        SimCluster cluster = quietCluster(6);
        cluster.users.submit(job(60_000, 0.01, List.of(), true, 4));
        cluster.runUntil(60_000);
        assertTrue(cluster.checker.taskStarts > 1000, cluster.checker.taskStarts + " starts");
        cluster.users.cancel("wk-000001");
        cluster.runUntil(150_000);
        assertEquals(Map.of(), cluster.store.scan(Keys.SLICES));
    }

    @Test
    void aJobAcceptedJustBeforeAllControllersDieStillRuns() {
        SimCluster cluster = quietCluster(3);
        boolean[] accepted = {false};
        cluster.controllers.get("n2").submit(job(4, 1, List.of(), true, 2), a -> {
            accepted[0] = a.status() == 201;
            cluster.controllers.values().forEach(n -> n.crash(4000));
        });
        cluster.users.register(job(4, 1, List.of(), true, 2));
        cluster.runUntil(60_000);
        assertTrue(accepted[0]);
        assertNotNull(cluster.store.get(Keys.fin("wk-000001")));
    }

    @Test
    void aHangingMachineIsDeletedBeforeItsCancelledTaskHasRunTooLong() {
        SimCluster cluster = quietCluster(2);
        cluster.users.submit(job(2, 4, List.of(), true, 200));
        cluster.runUntil(20_000);
        cluster.cloud.machines.values().forEach(m -> m.frozenUntil = 500_000);
        cluster.runUntil(21_000);
        cluster.users.cancel("wk-000001");
        cluster.runUntil(100_000);
        assertNotNull(cluster.store.get(Keys.fin("wk-000001")));
        assertEquals(Map.of(), cluster.store.scan(Keys.SLICES));
    }

    private static void submitOn(SimCluster cluster, int tasks, double estimateS) {
        cluster.users.submit(job(tasks, 2, List.of(), true, estimateS));
    }

    /** A trouble the users named: reports arrive, answers and commands do not. Being heard is not being reachable. */
    @Test
    void aMachineThatDoesNotHearItsControllerGetsNothingFromItAndServesAnother() {
        SimCluster cluster = quietCluster(6);
        submitOn(cluster, 1, 90);
        cluster.runUntil(16_000);
        SimWorker deaf = cluster.cloud.machines.values().stream()
                .filter(m -> m.runningTasks() > 0)
                .findFirst()
                .orElseThrow();
        deaf.inboundBlockedFrom = deaf.heartbeatTarget();
        for (int i = 2; i < 60; i++) {
            cluster.users.submit(JobBuilder.job(String.format("wk-%06d", i))
                    .tasks(9)
                    .cpus(0.02)
                    .memoryGb(0.01)
                    .estimateS(1)
                    .build());
            for (int step = 0; step < 10; step++) {
                cluster.runFor(100);
                boolean launched = cluster.store.scan(Keys.SLICES).entrySet().stream()
                        .anyMatch(e -> !e.getKey().contains("wk-000001")
                                && ((Value.Slice) e.getValue())
                                        .attempts().stream()
                                                .anyMatch(a ->
                                                        a.machine().equals(deaf.name) && a.launchedMs() > 1_023_500));
                assertFalse(launched && cluster.now() < 28_000, "launched at " + cluster.now());
            }
        }
        assertTrue(
                ((Value.ClusterMap) cluster.store.get(Keys.MAP)).moved().containsKey(deaf.name),
                "one that it hears has it");
        cluster.runUntil(200_000);
        assertEquals(1, cluster.recentTrace("start wk-000001/").lines().count(), "and lost nothing");
        assertNotNull(cluster.store.get(Keys.fin("wk-000001")));
    }

    @Test
    void aCancelledTaskOnAMachineThatDoesNotHearEndsInTime() {
        SimCluster cluster = quietCluster(6);
        submitOn(cluster, 12, 200);
        cluster.runUntil(16_000);
        SimWorker deaf = cluster.cloud.machines.values().iterator().next();
        assertTrue(deaf.runningTasks() > 0);
        deaf.inboundBlocked = true;
        cluster.runUntil(17_000);
        cluster.users.cancel("wk-000001");
        cluster.runUntil(100_000);
        assertEquals(Map.of(), cluster.store.scan(Keys.SLICES));
    }

    @Test
    void machinesThatAllStopHearingForAMomentAreNotDeletedAndServeAgain() {
        SimCluster cluster = quietCluster(6);
        submitOn(cluster, 12, 60);
        cluster.runUntil(16_000);
        cluster.cloud.machines.values().forEach(m -> m.inboundBlocked = true);
        cluster.runUntil(36_000);
        cluster.cloud.machines.values().forEach(m -> m.inboundBlocked = false);
        cluster.runUntil(150_000);
        assertEquals(6, cluster.cloud.machines.size(), "none was deleted");
        assertEquals(12, cluster.checker.taskStarts, "and every task ran to its end where it was");
        assertNotNull(cluster.store.get(Keys.fin("wk-000001")));
    }

    /** A trouble the users named: copies of reports come late, to whichever controller. */
    @Test
    void aLateCopyBringsNoMachineBackAndMovesNone() {
        SimCluster cluster = quietCluster(6);
        SimWorker machine = cluster.cloud.machines.values().iterator().next();
        List<dewlane.core.Report> copies =
                List.of(machine.nextHeartbeat(), machine.nextHeartbeat(), machine.nextHeartbeat());
        cluster.cloud.machines.remove(machine.name);
        machine.terminate();
        cluster.runUntil(50_000);
        cluster.controllers.values().forEach(n -> n.crash(300));
        cluster.runUntil(60_000);
        Value.ClusterMap map = (Value.ClusterMap) cluster.store.get(Keys.MAP);
        Map<String, Value> records = cluster.store.scan(Keys.MACHINES);
        for (int i = 0; i < copies.size(); i++) {
            for (SimController controller : cluster.controllers.values()) {
                machine.deliverHeartbeatCopy(copies.get(i), controller, 1 + 4000L * i);
            }
        }
        submitOn(cluster, 14, 5);
        cluster.runUntil(140_000);
        assertEquals(map, cluster.store.get(Keys.MAP), "no machine was moved");
        assertEquals(
                Map.of(),
                cluster.store.scan(Keys.MACHINES).entrySet().stream()
                        .filter(e -> !records.containsKey(e.getKey()))
                        .collect(java.util.stream.Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)),
                "none was condemned");
        assertFalse(cluster.recentTrace("wk-000001/").contains("on " + machine.name));
        assertEquals(14, cluster.checker.taskStarts, "nothing was launched on what is gone");
    }

    /** A trouble the users named: a controller loses the state service and the other controllers, not its workers. */
    @Test
    void aControllerThatOnlyItsWorkersReachHandsThemOverAndCondemnsNothing() {
        SimCluster cluster = quietCluster(9);
        submitOn(cluster, 18, 60);
        cluster.runUntil(25_000);
        SimController controller = cluster.controllers.get("n1");
        controller.cutFromStore = true;
        controller.cutFromPeers = true;
        cluster.runUntil(45_000);
        cluster.users.submit(JobBuilder.job("wk-000002").tasks(18).estimateS(5).build());
        cluster.runUntil(120_000);
        assertNotNull(cluster.store.get(Keys.fin("wk-000002")), "its machines serve others");
        controller.cutFromStore = false;
        controller.cutFromPeers = false;
        cluster.runUntil(160_000);
        assertEquals(36, cluster.checker.taskStarts, "no task was lost");
        assertEquals(Map.of(), cluster.store.scan(Keys.MACHINES));
    }

    @Test
    void controllersThatAreBackAtOnceLoseNoTask() {
        SimCluster cluster = quietCluster(9);
        submitOn(cluster, 18, 60);
        cluster.runUntil(25_000);
        cluster.controllers.values().forEach(n -> n.crash(200));
        cluster.runUntil(25_900);
        cluster.controllers.values().forEach(n -> n.crash(150));
        cluster.runUntil(27_000);
        cluster.controllers.get("n2").crash(100);
        cluster.runUntil(200_000);
        assertEquals(18, cluster.checker.taskStarts);
        assertEquals(9, cluster.cloud.machines.size());
        assertNotNull(cluster.store.get(Keys.fin("wk-000001")));
    }

    /** A map that changes elsewhere fences off no launch: at scale each crash undid every launch under way. */
    @Test
    void tokensOfMachinesThatDoNotChangeHandsStay() {
        SimCluster cluster = quietCluster(9);
        submitOn(cluster, 18, 30);
        cluster.runUntil(10_150);
        cluster.controllers.get("n2").crash(20_000);
        cluster.runUntil(200_000);
        Value.ClusterMap map = (Value.ClusterMap) cluster.store.get(Keys.MAP);
        assertTrue(map.epoch() >= 5, "n2 left and came back");
        assertTrue(
                cluster.cloud.machines.values().stream().anyMatch(m -> m.fencingToken() >> 20 < map.epoch() - 1),
                "some kept their token");
        assertNotNull(cluster.store.get(Keys.fin("wk-000001")));
    }

    /**
     * Seen on a grown deployment: each wandering worker of a dead controller made a map, and each map undid launches.
     */
    @Test
    void aControllerThatDiesAndReturnsCostsTwoMaps() {
        SimCluster cluster = quietCluster(30);
        submitOn(cluster, 60, 60);
        cluster.runUntil(25_000);
        long before = ((Value.ClusterMap) cluster.store.get(Keys.MAP)).epoch();
        cluster.controllers.get("n1").crash(8000);
        cluster.runUntil(60_000);
        assertEquals(before + 2, ((Value.ClusterMap) cluster.store.get(Keys.MAP)).epoch());
        assertEquals(60, cluster.checker.taskStarts);
    }

    /**
     * Found by a score that fell: with room nowhere, all parts looked alike, and the first got all work that waited.
     */
    @Test
    void whatFindsNoRoomWaitsWhereLeastDoes() {
        SimCluster cluster = quietCluster(3);
        cluster.cloud.capacity = 3;
        cluster.users.submit(job(12, 1, List.of(), true, 300));
        cluster.runUntil(20_000);
        assertEquals(12, cluster.checker.taskStarts, "all machines are full");
        Map<String, Integer> waiting = new java.util.HashMap<>();
        for (int i = 2; i < 11; i++) {
            String id = String.format("wk-%06d", i);
            cluster.users.submit(JobBuilder.job(id).tasks(10).estimateS(300).build());
            cluster.runFor(1000);
            ((Value.JobRecord) cluster.store.get(Keys.job(id)))
                    .deals()
                    .forEach(d -> waiting.merge(d.owner(), d.count(), Integer::sum));
        }
        assertEquals(Map.of("n0", 30, "n1", 30, "n2", 30), waiting);
    }

    /** Found by the random runs: tasks waiting before others that were done stayed with a part that had no room. */
    @Test
    void tasksWaitingBeforeOthersThatAreDoneFindRoomElsewhere() {
        SimCluster cluster = quietCluster(3);
        SimWorker large = cluster.cloud.create("large", "east", true);
        large.boot();
        cluster.runUntil(15_000);
        String has = Partitions.owner((Value.ClusterMap) cluster.store.get(Keys.MAP), large.name);
        String hasNot = cluster.controllers.keySet().stream()
                .filter(n -> !n.equals(has))
                .findFirst()
                .orElseThrow();
        BitSet done = new BitSet();
        done.set(2);
        Job job = job(3, 4, List.of("large"), true, 5);
        cluster.users.register(job);
        cluster.checker.taskDone(job.id(), 2);
        cluster.store.put(Keys.job(job.id()), new Value.JobRecord(job.withAccepted(1_000_000), List.of(), 0));
        cluster.store.put(Keys.slice(job.id(), 0), new Value.Slice(hasNot, 0, 3, 1, done, List.of()));
        cluster.runUntil(90_000);
        assertNotNull(cluster.store.get(Keys.fin(job.id())));
    }
}
