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
    private static SimCluster quietWorld(int machines) {
        return quietWorld(machines, 16);
    }

    private static SimCluster quietWorld(int machines, int txnOps) {
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
        SimCluster world = quietWorld(3);
        world.users.submit(job(1, 1, List.of("large"), false, 1));
        world.run(120_000);
        assertNotNull(world.state.get(Keys.fin("wk-000001")));
    }

    /**
     * Found in a hunt: one-task jobs came faster than they could be written. Submissions that were refused were tried
     * again without end, each poll was a read, and with all requests and changes used up for that the controllers lost
     * their leases, and nothing that was accepted ran.
     */
    @Test
    void moreSmallJobsThanCanBeWrittenDoNotStopWhatWasAccepted() {
        SimCluster world = quietWorld(9);
        int jobs = 3000;
        for (int i = 0; i < jobs; i++) {
            Job job = SimFixtures.job(500_000 + i, Priority.HIGH, 1, 1, 1);
            world.after(20L * i, () -> world.users.submit(job));
        }
        for (int i = 0; i < 12_000; i++) {
            world.after(5L * i, world.users::pollSome);
        }
        Value map = world.state.get(Keys.MAP);
        world.run(70_000);
        int done = world.state.all(Keys.FINALS).size();
        assertTrue(done >= 300, done + " of " + jobs + " jobs were done while they came");
        assertEquals(map, world.state.get(Keys.MAP), "no controller lost its lease");
        assertTrue(
                world.state.requestsRefused < world.state.requests / 10,
                world.state.requestsRefused + " of " + world.state.requests + " requests refused");
        world.run(400_000);
        for (String id : world.users.accepted) {
            assertNotNull(world.state.get(Keys.fin(id)), id);
        }
    }

    /**
     * Found in a hunt: what users asked for during a long outage was tried again and again, and each try was owed by
     * the bucket of changes, so that nothing was launched for ten minutes after it.
     */
    @Test
    void whatIsAskedDuringAnOutageDoesNotHoldUpLaunchesAfterIt() {
        SimCluster world = quietWorld(9);
        for (int i = 0; i < 400; i++) {
            Job job = SimFixtures.job(500_000 + i, Priority.HIGH, 1, 1, 1);
            world.after(150L * i, () -> world.users.submit(job));
        }
        world.run(12_000);
        int before = world.checker.starts;
        assertTrue(before > 0);
        world.state.outage(70_000);
        world.run(82_000);
        assertTrue(world.checker.starts < before + 30, "the outage came about");
        world.run(102_000);
        assertTrue(world.checker.starts > before + 60, world.checker.starts + " started, " + before + " before it");
    }

    /** Seen in a recorded incident: workers cut from their controller were sent back to it until their leases ended. */
    @Test
    void machinesCutFromTheirControllerMoveAndLoseNoTask() {
        SimCluster world = quietWorld(9);
        world.users.submit(job(18, 2, List.of(), true, 60));
        world.run(25_000);
        assertEquals(18, world.checker.starts);
        world.nodes.get("n0").cutFromWorkers = true;
        world.run(200_000);
        assertEquals(18, world.checker.starts, "every task ran on where it was");
        assertEquals(9, world.cloud.machines.size(), "no machine was deleted for its silence");
        assertNotNull(world.state.get(Keys.fin("wk-000001")));
    }

    /** Seen in the same incident: a controller came back from a cut and condemned what others had taken over. */
    @Test
    void aControllerThatWasCutOffCondemnsNothingOnItsReturn() {
        SimCluster world = quietWorld(9);
        world.users.submit(job(18, 2, List.of(), true, 80));
        world.run(25_000);
        SimController node = world.nodes.get("n1");
        node.cutFromState = true;
        node.cutFromWorkers = true;
        world.run(60_000);
        node.cutFromState = false;
        node.cutFromWorkers = false;
        world.run(90_000);
        assertEquals(Map.of(), world.state.all(Keys.MACHINES));
        assertEquals(18, world.checker.starts);
    }

    /** A controller alone stands still for longer than machines may be silent: what it slept through condemns none. */
    @Test
    void aControllerThatStoodStillCondemnsNothingWhenItWakes() {
        SimCluster world = quietWorld(9);
        world.nodes.get("n1").crash(600_000);
        world.nodes.get("n2").crash(600_000);
        world.run(20_000);
        world.users.submit(job(18, 2, List.of(), true, 80));
        world.run(35_000);
        // Nobody can take its part over: its lease stays for as long as the state service is out.
        world.state.outage(45_000);
        world.nodes.get("n0").freeze(44_000);
        world.run(200_000);
        assertEquals(Map.of(), world.state.all(Keys.MACHINES));
        for (int i = 1; i <= 9; i++) {
            assertTrue(world.cloud.machines.containsKey("vm-00000" + i), "machine " + i + " was not deleted");
        }
    }

    /**
     * Found in a day's log: each hand-over of waiting tasks made a slice, until a job had more of them than one
     * transaction may delete, and never ended.
     */
    @Test
    void aJobThatIsHandedOnManyTimesCanStillEnd() {
        SimCluster world = quietWorld(9, 8);
        world.cloud.room = 9;
        world.users.submit(job(600, 1, List.of(), true, 5));
        world.run(400_000);
        assertNotNull(world.state.get(Keys.fin("wk-000001")));
        assertEquals(Map.of(), world.state.all(Keys.SLICES));
    }

    @Test
    void aLargeJobOfSmallTasksStaysWithinTheLimitsOfTheStateService() {
        SimCluster world = quietWorld(6);
        world.users.submit(job(60_000, 0.01, List.of(), true, 4));
        world.run(60_000);
        assertTrue(world.checker.starts > 1000, world.checker.starts + " starts");
        world.users.cancel("wk-000001");
        world.run(150_000);
        assertEquals(Map.of(), world.state.all(Keys.SLICES));
    }

    @Test
    void aJobAcceptedJustBeforeAllControllersDieStillRuns() {
        SimCluster world = quietWorld(3);
        boolean[] accepted = {false};
        world.nodes.get("n2").submit(job(4, 1, List.of(), true, 2), a -> {
            accepted[0] = a.status() == 201;
            world.nodes.values().forEach(n -> n.crash(4000));
        });
        world.users.know(job(4, 1, List.of(), true, 2));
        world.run(60_000);
        assertTrue(accepted[0]);
        assertNotNull(world.state.get(Keys.fin("wk-000001")));
    }

    @Test
    void aHangingMachineIsDeletedBeforeItsCancelledTaskHasRunTooLong() {
        SimCluster world = quietWorld(2);
        world.users.submit(job(2, 4, List.of(), true, 200));
        world.run(20_000);
        world.cloud.machines.values().forEach(m -> m.hangsUntil = 500_000);
        world.run(21_000);
        world.users.cancel("wk-000001");
        world.run(100_000);
        assertNotNull(world.state.get(Keys.fin("wk-000001")));
        assertEquals(Map.of(), world.state.all(Keys.SLICES));
    }

    private static void submitOn(SimCluster world, int tasks, double estimateS) {
        world.users.submit(job(tasks, 2, List.of(), true, estimateS));
    }

    /** A trouble the users named: reports arrive, answers and commands do not. Being heard is not being reachable. */
    @Test
    void aMachineThatDoesNotHearItsControllerGetsNothingFromItAndServesAnother() {
        SimCluster world = quietWorld(6);
        submitOn(world, 1, 90);
        world.run(16_000);
        SimWorker deaf = world.cloud.machines.values().stream()
                .filter(m -> m.running() > 0)
                .findFirst()
                .orElseThrow();
        deaf.deafTo = deaf.reportsTo();
        for (int i = 2; i < 60; i++) {
            world.users.submit(JobBuilder.job(String.format("wk-%06d", i))
                    .tasks(9)
                    .cpus(0.02)
                    .memoryGb(0.01)
                    .estimateS(1)
                    .build());
            for (int step = 0; step < 10; step++) {
                world.run(world.now() + 100);
                boolean launched = world.state.all(Keys.SLICES).entrySet().stream()
                        .anyMatch(e -> !e.getKey().contains("wk-000001")
                                && ((Value.Slice) e.getValue())
                                        .attempts().stream()
                                                .anyMatch(a ->
                                                        a.machine().equals(deaf.name) && a.launchedMs() > 1_023_500));
                assertFalse(launched && world.now() < 28_000, "launched at " + world.now());
            }
        }
        assertTrue(
                ((Value.ClusterMap) world.state.get(Keys.MAP)).moved().containsKey(deaf.name),
                "one that it hears has it");
        world.run(200_000);
        assertEquals(1, world.lately("start wk-000001/").lines().count(), "and lost nothing");
        assertNotNull(world.state.get(Keys.fin("wk-000001")));
    }

    @Test
    void aCancelledTaskOnAMachineThatDoesNotHearEndsInTime() {
        SimCluster world = quietWorld(6);
        submitOn(world, 12, 200);
        world.run(16_000);
        SimWorker deaf = world.cloud.machines.values().iterator().next();
        assertTrue(deaf.running() > 0);
        deaf.deaf = true;
        world.run(17_000);
        world.users.cancel("wk-000001");
        world.run(100_000);
        assertEquals(Map.of(), world.state.all(Keys.SLICES));
    }

    @Test
    void machinesThatAllStopHearingForAMomentAreNotDeletedAndServeAgain() {
        SimCluster world = quietWorld(6);
        submitOn(world, 12, 60);
        world.run(16_000);
        world.cloud.machines.values().forEach(m -> m.deaf = true);
        world.run(36_000);
        world.cloud.machines.values().forEach(m -> m.deaf = false);
        world.run(150_000);
        assertEquals(6, world.cloud.machines.size(), "none was deleted");
        assertEquals(12, world.checker.starts, "and every task ran to its end where it was");
        assertNotNull(world.state.get(Keys.fin("wk-000001")));
    }

    /** A trouble the users named: copies of reports come late, to whichever controller. */
    @Test
    void aLateCopyBringsNoMachineBackAndMovesNone() {
        SimCluster world = quietWorld(6);
        SimWorker machine = world.cloud.machines.values().iterator().next();
        List<dewlane.core.Report> copies = List.of(machine.report(), machine.report(), machine.report());
        world.cloud.machines.remove(machine.name);
        machine.vanish();
        world.run(50_000);
        world.nodes.values().forEach(n -> n.crash(300));
        world.run(60_000);
        Value.ClusterMap map = (Value.ClusterMap) world.state.get(Keys.MAP);
        Map<String, Value> records = world.state.all(Keys.MACHINES);
        for (int i = 0; i < copies.size(); i++) {
            for (SimController node : world.nodes.values()) {
                machine.copyLate(copies.get(i), node, 1 + 4000L * i);
            }
        }
        submitOn(world, 14, 5);
        world.run(140_000);
        assertEquals(map, world.state.get(Keys.MAP), "no machine was moved");
        assertEquals(
                Map.of(),
                world.state.all(Keys.MACHINES).entrySet().stream()
                        .filter(e -> !records.containsKey(e.getKey()))
                        .collect(java.util.stream.Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)),
                "none was condemned");
        assertFalse(world.lately("wk-000001/").contains("on " + machine.name));
        assertEquals(14, world.checker.starts, "nothing was launched on what is gone");
    }

    /** A trouble the users named: a controller loses the state service and the other controllers, not its workers. */
    @Test
    void aControllerThatOnlyItsWorkersReachHandsThemOverAndCondemnsNothing() {
        SimCluster world = quietWorld(9);
        submitOn(world, 18, 60);
        world.run(25_000);
        SimController node = world.nodes.get("n1");
        node.cutFromState = true;
        node.cutFromPeers = true;
        world.run(45_000);
        world.users.submit(JobBuilder.job("wk-000002").tasks(18).estimateS(5).build());
        world.run(120_000);
        assertNotNull(world.state.get(Keys.fin("wk-000002")), "its machines serve others");
        node.cutFromState = false;
        node.cutFromPeers = false;
        world.run(160_000);
        assertEquals(36, world.checker.starts, "no task was lost");
        assertEquals(Map.of(), world.state.all(Keys.MACHINES));
    }

    @Test
    void controllersThatAreBackAtOnceLoseNoTask() {
        SimCluster world = quietWorld(9);
        submitOn(world, 18, 60);
        world.run(25_000);
        world.nodes.values().forEach(n -> n.crash(200));
        world.run(25_900);
        world.nodes.values().forEach(n -> n.crash(150));
        world.run(27_000);
        world.nodes.get("n2").crash(100);
        world.run(200_000);
        assertEquals(18, world.checker.starts);
        assertEquals(9, world.cloud.machines.size());
        assertNotNull(world.state.get(Keys.fin("wk-000001")));
    }

    /** A map that changes elsewhere fences off no launch: at scale each crash undid every launch under way. */
    @Test
    void tokensOfMachinesThatDoNotChangeHandsStay() {
        SimCluster world = quietWorld(9);
        submitOn(world, 18, 30);
        world.run(10_150);
        world.nodes.get("n2").crash(20_000);
        world.run(200_000);
        Value.ClusterMap map = (Value.ClusterMap) world.state.get(Keys.MAP);
        assertTrue(map.epoch() >= 5, "n2 left and came back");
        assertTrue(
                world.cloud.machines.values().stream().anyMatch(m -> m.seal() >> 20 < map.epoch() - 1),
                "some kept their token");
        assertNotNull(world.state.get(Keys.fin("wk-000001")));
    }

    /**
     * Seen on a grown deployment: each wandering worker of a dead controller made a map, and each map undid launches.
     */
    @Test
    void aControllerThatDiesAndReturnsCostsTwoMaps() {
        SimCluster world = quietWorld(30);
        submitOn(world, 60, 60);
        world.run(25_000);
        long before = ((Value.ClusterMap) world.state.get(Keys.MAP)).epoch();
        world.nodes.get("n1").crash(8000);
        world.run(60_000);
        assertEquals(before + 2, ((Value.ClusterMap) world.state.get(Keys.MAP)).epoch());
        assertEquals(60, world.checker.starts);
    }

    /**
     * Found by a score that fell: with room nowhere, all parts looked alike, and the first got all work that waited.
     */
    @Test
    void whatFindsNoRoomWaitsWhereLeastDoes() {
        SimCluster world = quietWorld(3);
        world.cloud.room = 3;
        world.users.submit(job(12, 1, List.of(), true, 300));
        world.run(20_000);
        assertEquals(12, world.checker.starts, "all machines are full");
        Map<String, Integer> waiting = new java.util.HashMap<>();
        for (int i = 2; i < 11; i++) {
            String id = String.format("wk-%06d", i);
            world.users.submit(JobBuilder.job(id).tasks(10).estimateS(300).build());
            world.run(world.now() + 1000);
            ((Value.JobRecord) world.state.get(Keys.job(id)))
                    .deals()
                    .forEach(d -> waiting.merge(d.owner(), d.count(), Integer::sum));
        }
        assertEquals(Map.of("n0", 30, "n1", 30, "n2", 30), waiting);
    }

    /** Found by the random runs: tasks waiting before others that were done stayed with a part that had no room. */
    @Test
    void tasksWaitingBeforeOthersThatAreDoneFindRoomElsewhere() {
        SimCluster world = quietWorld(3);
        SimWorker large = world.cloud.create("large", "east", true);
        large.boot();
        world.run(15_000);
        String has = Partitions.owner((Value.ClusterMap) world.state.get(Keys.MAP), large.name);
        String hasNot = world.nodes.keySet().stream()
                .filter(n -> !n.equals(has))
                .findFirst()
                .orElseThrow();
        BitSet done = new BitSet();
        done.set(2);
        Job job = job(3, 4, List.of("large"), true, 5);
        world.users.know(job);
        world.checker.finished(job.id(), 2);
        world.state.put(Keys.job(job.id()), new Value.JobRecord(job.withAccepted(1_000_000), List.of(), 0));
        world.state.put(Keys.slice(job.id(), 0), new Value.Slice(hasNot, 0, 3, 1, done, List.of()));
        world.run(90_000);
        assertNotNull(world.state.get(Keys.fin(job.id())));
    }
}
