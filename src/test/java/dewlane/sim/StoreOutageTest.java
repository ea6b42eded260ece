package dewlane.sim;

import static dewlane.sim.SimFixtures.NO_LIMIT;
import static dewlane.sim.SimFixtures.calm;
import static dewlane.sim.SimFixtures.id;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.leader;
import static dewlane.sim.SimFixtures.map;
import static dewlane.sim.SimFixtures.other;
import static dewlane.sim.SimFixtures.running;
import static dewlane.sim.SimFixtures.with;
import static dewlane.sim.SimFixtures.world;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.Effect.Condition;
import dewlane.core.Job;
import dewlane.core.JobBuilder;
import dewlane.core.Keys;
import dewlane.core.Partitions;
import dewlane.core.Priority;
import dewlane.core.Settings;
import dewlane.core.Value;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The meetings of troubles that the operators named, each brought about by itself; that it came about is asserted. The
 * checker looks at the rules after each step, and in {@link SimFixtures#calm} at what has to hold once all troubles are
 * over.
 */
class StoreOutageTest {
    private static final String JOB = "wk-000001";

    private static Job placed(int number, int tasks, String zone, boolean oneZone, boolean spread) {
        return JobBuilder.job(id(number))
                .tasks(tasks)
                .cpus(2)
                .zone(zone)
                .oneZone(oneZone)
                .spread(spread)
                .estimateS(30)
                .build();
    }

    /**
     * Refuses the leader alone, has another confirm the cancellation, then is out for all; returns when it was
     * confirmed. If it is to stay untold, who confirmed it ends at once, so that the leader, which still hears a peer,
     * has no word of it.
     */
    private static long gap(SimCluster world, SimController leader, long afterMs, boolean untold) {
        world.state.refused.add(leader.name);
        world.run(world.now() + afterMs);
        SimController confirming = other(world, leader);
        world.users.cancelAt(confirming, JOB);
        for (int step = 0; step < 200 && world.checker.lastTold(JOB) != Condition.ABORTED; step++) {
            world.run(world.now() + 5);
        }
        if (untold) {
            confirming.crash(50_000);
        }
        world.run(world.now() + 700);
        assertEquals(Condition.ABORTED, world.checker.lastTold(JOB), "another controller confirmed it");
        long confirmed = world.now();
        world.state.outage((long) (world.settings.cancelS() * 1000) + 12_000);
        return confirmed;
    }

    /**
     * The gap: the leader, refused alone, never sees the cancellations that others confirmed just before the outage,
     * and the workers keep reporting to it.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void refusedAloneThenAnOutageLongerThanACancellationHas(long seed) {
        SimCluster world = world(seed, 9);
        world.users.submit(job(1, Priority.HIGH, 18, 2, 400));
        world.run(25_000);
        assertEquals(18, running(world, JOB));
        SimController leader = leader(world);
        long confirmed = gap(world, leader, 300 * seed, true);
        assertTrue(
                world.cloud.machines.values().stream()
                        .anyMatch(m -> m.running() > 0 && m.reportsTo().equals(leader.name)),
                "tasks run on machines that report to the one that was refused");
        world.run(confirmed + 10_000);
        assertTrue(running(world, JOB) > 0, "it cannot know yet");
        world.run(confirmed + (long) (world.settings.cancelS() * 1000));
        assertEquals(0, running(world, JOB));
        world.state.refused.clear();
        calm(world, 200_000);
    }

    /**
     * The times of the deployments with the shortest and the longest lease: what is lost follows from them, not from
     * seconds in the code.
     */
    @ParameterizedTest
    @CsvSource({"2.5, 14, 44", "5, 31, 61"})
    void controllersThatEndAndARollCostNoTaskWhateverTheLease(double reportS, double leaseS, double cancelS) {
        SimCluster world = SimCluster.quiet(4, NO_LIMIT, 16, 12, reportS, leaseS, cancelS);
        world.users.submit(job(1, Priority.HIGH, 24, 2, 150));
        world.run(25_000);
        leader(world).crash(8000);
        world.run(50_000);
        for (SimController node : List.copyOf(world.nodes.values())) {
            node.crash(2000);
            world.run(world.now() + 15_000);
        }
        assertEquals(24, world.checker.starts);
        assertEquals(12, world.cloud.machines.size());
        world.users.submit(job(2, Priority.HIGH, 12, 1, 300));
        world.run(110_000);
        SimController refused = leader(world);
        world.state.refused.add(refused.name);
        world.users.cancelAt(other(world, refused), id(2));
        world.run(111_000);
        world.state.outage((long) (1000 * cancelS) + 10_000);
        world.run(111_000 + (long) (1000 * cancelS));
        assertEquals(0, running(world, id(2)));
        world.state.refused.clear();
        calm(world, 400_000);
    }

    /** The same while peers still hear one another: the owner stops the tasks at once, and those of others go on. */
    @Test
    void whatAPeerConfirmedIsStoppedWithoutTheStateService() {
        SimCluster world = world(6, 9);
        world.users.submit(job(1, Priority.HIGH, 10, 2, 400));
        world.users.submit(job(2, Priority.HIGH, 8, 2, 50));
        world.run(25_000);
        long confirmed = gap(world, leader(world), 500, false);
        world.run(confirmed + 4000);
        assertEquals(0, running(world, JOB));
        assertEquals(8, running(world, id(2)));
        world.state.refused.clear();
        calm(world, 300_000);
    }

    /** In the gap, a machine that hangs with a cancelled task is deleted though no record of it can be written. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aMachineThatHangsInTheGapIsDeletedWithoutARecord(long seed) {
        SimCluster world = world(seed, 9);
        world.users.submit(job(1, Priority.HIGH, 18, 2, 400));
        world.run(25_000);
        List<SimWorker> hanging = with(world, JOB).subList(0, 4);
        hanging.forEach(m -> m.hangsUntil = 500_000);
        long confirmed = gap(world, leader(world), 500, false);
        world.run(confirmed + 50_000);
        assertTrue(world.state.out, "still out");
        assertTrue(hanging.stream().allMatch(m -> m.gone), "deleted");
        world.run(confirmed + 75_000);
        world.state.refused.clear();
        calm(world, 200_000);
    }

    @Test
    void urgentWorkMeetsAFullFleetOverSlowLinks() {
        SimCluster world = world(7, 6);
        world.cloud.room = 6;
        world.slowLinksMs = 250;
        world.state.slowMs = 700;
        for (int i = 1; i <= 6; i++) {
            world.users.submit(job(i, Priority.IDLE, 8, 1, 120));
        }
        world.run(40_000);
        assertTrue(world.cloud.machines.values().stream().allMatch(m -> m.running() >= 3), "the fleet is full");
        world.users.submit(JobBuilder.job(id(7))
                .priority(Priority.CRITICAL)
                .tasks(8)
                .estimateS(5)
                .deadlineS(20)
                .build());
        world.run(75_000);
        assertEquals(8, world.lately("start " + id(7)).lines().count(), "urgent tasks began");
        assertTrue(world.lately("STOPPED").lines().count() > 0, "others were stopped for them");
        calm(world, 900_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void jobsBoundToZonesLoseMachines(long seed) {
        SimCluster world = world(seed, 6);
        for (int i = 0; i < 6; i++) {
            world.cloud.create("small", "west", true).boot();
        }
        world.cloud.room = 12;
        world.run(15_000);
        world.users.submit(placed(1, 6, null, true, false));
        world.users.submit(placed(2, 7, null, false, true));
        world.users.submit(placed(3, 6, "west", false, false));
        world.run(25_000);
        for (int i = 1; i <= 3; i++) {
            assertTrue(running(world, id(i)) > 0, i + " runs");
            with(world, id(i)).get(0).vanish();
        }
        world.run(30_000);
        with(world, id(2)).get(0).vanish();
        calm(world, 300_000);
        assertTrue(world.checker.starts > 19, "tasks were lost and begun again");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void aZoneWithWorkersAndAControllerIsCutOffForLongerThanALease(long seed) {
        SimCluster world = world(seed, 6);
        for (int i = 0; i < 6; i++) {
            world.cloud.create("small", "west", true).boot();
        }
        world.run(15_000);
        world.users.submit(job(1, Priority.HIGH, 20, 2, 60));
        world.run(25_000);
        SimController inside = world.nodes.get("n0");
        inside.cutFromState = true;
        inside.cutFromPeers = true;
        for (SimWorker m : world.cloud.machines.values()) {
            m.cutFrom.addAll(m.zone.equals("west") ? List.of("n1", "n2") : List.of("n0"));
        }
        long west = world.cloud.machines.values().stream()
                .filter(m -> m.zone.equals("west"))
                .mapToLong(SimWorker::running)
                .sum();
        assertTrue(west > 0, "tasks run in the zone");
        world.users.cancelAt(world.nodes.get("n1"), JOB);
        world.users.submit(job(2, Priority.HIGH, 6, 2, 5));
        world.run(25_000 + 1000 * (long) world.settings.leaseS() + 25_000);
        inside.cutFromState = false;
        inside.cutFromPeers = false;
        world.cloud.machines.values().forEach(m -> m.cutFrom.clear());
        calm(world, 200_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void oldReportsArriveAfterNewerOnesAlsoOfEarlierSessionsAndAttempts(long seed) {
        SimCluster world = world(seed, 4);
        world.cloud.room = 4;
        world.users.submit(job(1, Priority.HIGH, 8, 2, 90));
        world.run(16_000);
        SimWorker machine = with(world, JOB).get(0);
        List<dewlane.core.Report> old = new ArrayList<>(List.of(machine.report(), machine.report()));
        long session = machine.session();
        machine.cut = true;
        world.run(50_000);
        machine.cut = false;
        world.run(120_000);
        if (!machine.gone) {
            assertNotEquals(session, machine.session());
        }
        SimWorker again = with(world, JOB).get(0);
        old.add(again.report());
        assertTrue(world.checker.starts > 8, "tasks of the earlier session were begun again");
        world.users.submit(job(2, Priority.HIGH, 6, 1, 4));
        for (int i = 0; i < old.size(); i++) {
            for (SimController node : world.nodes.values()) {
                machine.copyLate(old.get(i), node, 500 + 1500L * i);
                machine.copyLate(old.get(i), node, 40_000 + 1500L * i);
            }
        }
        calm(world, 300_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void unansweredTransactionsAreCarriedOutAfterNewerOnes(long seed) {
        SimCluster world = world(seed, 8);
        world.state.lateWrites = 0.4;
        for (int i = 1; i <= 14; i++) {
            Job job = job(i, Priority.values()[i % 4], 6, 1 + i % 2, 6);
            world.after(i * 2000L, () -> world.users.submit(job));
            if (i % 3 == 0) {
                world.after(i * 2000L + 4000, () -> world.users.cancel(job.id()));
            }
        }
        world.after(12_000, () -> leader(world).crash(3000));
        world.run(50_000);
        assertTrue(world.state.lateTried > 20, world.state.lateTried + " late");
        assertTrue(
                world.state.lateApplied > 0 && world.state.lateApplied < world.state.lateTried,
                world.state.lateApplied + " of " + world.state.lateTried + " changed something");
        world.state.lateWrites = 0;
        calm(world, 300_000);
    }

    /**
     * Commands held up by a machine that hangs are carried out when it goes on, and their job is cancelled meanwhile.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aCommandIsHeldUpForSecondsAndItsJobIsCancelledMeanwhile(long seed) {
        SimCluster world = world(seed, 3);
        world.cloud.room = 3;
        world.users.submit(job(1, Priority.HIGH, 6, 2, 60));
        world.run(10_120);
        world.cloud.machines.values().forEach(m -> m.hangsUntil = world.now() + 6000);
        world.run(13_000);
        assertFalse(world.state.all(Keys.SLICES).isEmpty(), "launches were written");
        assertEquals(0, world.checker.starts, "and none arrived");
        if (seed != 2) {
            world.users.cancel(JOB);
        }
        world.run(20_000);
        assertEquals(0, seed == 2 ? 0 : running(world, JOB));
        calm(world, 200_000);
        assertTrue(seed != 2 || world.checker.starts == 6, "each held launch began once");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void leadersChangeTenTimesInTwoMinutesAlsoInsideAnOutage(long seed) {
        SimCluster world = world(seed, 8);
        world.users.submit(job(1, Priority.HIGH, 12, 2, 150));
        world.run(20_000);
        List<String> led = new ArrayList<>();
        for (int i = 0; i < 11; i++) {
            SimController leader = leader(world);
            led.add(leader.name + "@" + map(world).incarnation(leader.name));
            if (leader.alive) {
                leader.crash(3000);
            }
            world.users.submit(job(2 + i, Priority.HIGH, 3, 1, 3));
            if (i == 5) {
                world.state.outage(9000);
            }
            world.run(world.now() + 11_000);
        }
        assertTrue(led.stream().distinct().count() >= 10, "leaders: " + led);
        calm(world, 300_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void tasksOfSmallJobsEndFarApartAcrossChangesOfLeader(long seed) {
        SimCluster world = world(seed, 1);
        world.cloud.room = 1;
        for (int i = 1; i <= 3; i++) {
            world.users.submit(job(i, Priority.HIGH, 1 + i % 3, 4, 25));
        }
        int ends = 0;
        for (int i = 0; i < 6; i++) {
            int before = world.checker.starts;
            world.run(world.now() + 25_000);
            ends += world.checker.starts - before;
            leader(world).crash(2000);
        }
        assertTrue(ends >= 4, "they ran one after the other: " + ends);
        calm(world, 200_000);
        assertEquals(6, world.checker.starts, "and each once");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aLeaderEndsWhileMachinesWithLongTasksCannotBeReachedOrDoNotHear(long seed) {
        SimCluster world = world(seed, 9);
        world.users.submit(job(1, Priority.HIGH, 18, 2, 90));
        world.run(25_000);
        List<SimWorker> machines = List.copyOf(world.cloud.machines.values());
        machines.get(0).cut = true;
        machines.get(1).cut = true;
        machines.get(2).deaf = true;
        machines.get(3).deaf = true;
        leader(world).crash(8000);
        world.run(33_000);
        assertTrue(map(world).members().size() < 3, "it has been taken out of the map");
        machines.get(1).cut = false;
        machines.get(3).deaf = false;
        world.run(80_000);
        machines.get(0).cut = false;
        machines.get(2).deaf = false;
        calm(world, 300_000);
        assertTrue(world.checker.starts > 18, "what could not be reached in time was begun again");
        assertTrue(machines.stream().skip(4).noneMatch(m -> m.gone), "and the others lost nothing");
    }

    /** The checker holds each job to the one final state that a user was told first. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancellationsQuestionsAndRepeatsMeetTheEndOfTheLastTask(long seed) {
        SimCluster world = world(seed, 6);
        world.users.cancelAtEnd = 0.7;
        world.every(250, () -> {
            for (String id : world.users.accepted()) {
                if (world.checker.allTasksDone(id) && world.now() < 60_000) {
                    SimController node = List.copyOf(world.nodes.values()).get(world.random.nextInt(3));
                    world.users.pollAt(node, id);
                    world.users.repeatAt(node, id);
                }
            }
        });
        for (int i = 1; i <= 30; i++) {
            Job job = job(i, Priority.HIGH, 1 + i % 3, 1, 2);
            world.after(i * 800L, () -> world.users.submit(job));
        }
        calm(world, 100_000);
        long cancelled = world.state.all(Keys.FINALS).values().stream()
                .filter(f -> ((Value.FinalRecord) f).aborted())
                .count();
        assertTrue(cancelled > 0 && cancelled < 30, cancelled + " of 30 were cancelled before their end was written");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void allControllersAreAwayForLongerThanALease(long seed) {
        SimCluster world = world(seed, 6);
        world.users.submit(job(1, Priority.HIGH, 12, 2, 80));
        world.users.submit(job(2, Priority.HIGH, 2, 2, 80));
        world.run(20_000);
        world.users.cancel(id(2));
        world.run(20_500);
        world.nodes.values().forEach(n -> n.crash(36_000));
        world.run(56_000);
        assertEquals(0, running(world, JOB), "their leases have ended");
        assertNotNull(world.state.get(Keys.job(JOB)));
        calm(world, 300_000);
        assertTrue(world.checker.starts >= 24, "every task was begun again");
    }

    /** A limit that is lent launch by launch, and one that the controllers share. */
    @ParameterizedTest
    @ValueSource(doubles = {12, 1200})
    void aTeamIsAtItsLimitWhenTheLeaderChangesAndItsMachinesCannotBeAsked(double limit) {
        int machines = limit > 100 ? 320 : 6;
        SimCluster world = SimCluster.quiet(3, Map.of("blue", new Settings.Team("blue", 0, 0, limit, 0)), 16, machines);
        world.cloud.room = machines;
        int tasks = (int) limit / 4;
        world.users.submit(job(1, Priority.HIGH, tasks, 2, 60));
        world.users.submit(job(2, Priority.HIGH, tasks, 2, 60));
        world.users.submit(job(3, Priority.HIGH, tasks, 2, 10));
        world.run(40_000);
        long before = running(world, JOB) + running(world, id(2)) + running(world, id(3));
        assertTrue(before * 2 > limit * 0.95, before + " tasks are as many as the limit allows");
        List<SimWorker> lost =
                with(world, JOB).subList(0, Math.max(1, with(world, JOB).size() / 3));
        lost.forEach(m -> m.cut = true);
        leader(world).crash(6000);
        world.run(41_000);
        world.users.cancel(JOB);
        world.run(52_000);
        assertEquals(Condition.ABORTED, world.checker.lastTold(JOB));
        assertTrue(lost.stream().anyMatch(m -> m.running(JOB) > 0), "what cannot be asked still runs");
        world.run(65_000);
        lost.forEach(m -> m.cut = false);
        calm(world, 300_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void usersCancelAndAskWhileTheStateServiceIsSlowThenRefusesOneThenAll(long seed) {
        SimCluster world = world(seed, 8);
        world.users.submit(job(1, Priority.HIGH, 12, 2, 300));
        world.users.submit(job(2, Priority.HIGH, 2, 2, 300));
        world.run(22_000);
        world.every(300, world.users::pollSome);
        world.state.slowMs = 1300;
        world.run(28_000);
        world.users.cancel(id(2));
        world.run(31_000);
        SimController leader = leader(world);
        world.state.refused.add(leader.name);
        world.users.cancelAt(other(world, leader), JOB);
        world.run(35_500);
        assertEquals(Condition.ABORTED, world.checker.lastTold(JOB));
        world.state.outage(70_000);
        world.run(106_500);
        world.state.refused.clear();
        world.state.slowMs = 0;
        calm(world, 200_000);
    }

    /** What is launched by direct commands on a machine that cannot report is lost with its lease. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void workersReachNoControllerWhileCommandsReachThem(long seed) {
        SimCluster world = world(seed, 6);
        world.cloud.room = 6;
        world.run(12_000);
        SimWorker mute = List.copyOf(world.cloud.machines.values()).get(0);
        mute.mute = true;
        for (int i = 1; i <= 60; i++) {
            Job job = job(i, Priority.HIGH, 20, 1, 4);
            world.after(i * 900L, () -> world.users.submit(job));
        }
        world.run(14_000);
        assertTrue(mute.running() > 0, "commands reach it");
        world.run(40_000);
        String launched = world.lately("on " + mute.name);
        assertFalse(
                launched.lines()
                        .anyMatch(
                                l -> l.contains(" start ") && Long.parseLong(l.substring(0, l.indexOf(' '))) > 33_000),
                "nothing more began there\n" + launched);
        mute.mute = false;
        calm(world, 300_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aLeaderThatOnlyWorkersAndUsersReachMissesWhatItsSuccessorCancels(long seed) {
        SimCluster world = world(seed, 9);
        world.users.submit(job(1, Priority.HIGH, 18, 2, 300));
        world.run(25_000);
        SimController leader = leader(world);
        leader.cutFromState = true;
        leader.cutFromPeers = true;
        world.run(25_000 + 1500 * seed);
        world.users.cancelAt(other(world, leader), JOB);
        world.every(500, () -> world.users.pollAt(leader, JOB));
        world.run(100_000);
        assertNotEquals(leader.name, Partitions.leader(map(world)), "another leads");
        leader.cutFromState = false;
        leader.cutFromPeers = false;
        calm(world, 200_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void controllersHandOverAndBackAllEndAndOneReturnsWithinASecond(long seed) {
        SimCluster world = world(seed, 9);
        world.users.submit(job(1, Priority.HIGH, 18, 2, 60));
        world.run(25_000);
        world.nodes.get("n0").crash(4500);
        world.run(34_000);
        world.nodes.get("n1").crash(4500);
        world.users.submit(job(2, Priority.HIGH, 5, 1, 3));
        world.run(43_000);
        world.nodes.get("n0").crash(400 * seed);
        world.nodes.get("n1").crash(9000);
        world.nodes.get("n2").crash(9000);
        world.run(43_900);
        world.nodes.values().stream().filter(n -> n.alive).forEach(n -> n.crash(200));
        world.users.submit(job(3, Priority.HIGH, 5, 1, 3));
        calm(world, 200_000);
        assertEquals(28, world.checker.starts, "no task was lost");
        assertTrue(map(world).epoch() > 8, "epoch " + map(world).epoch());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void reportsAreHeldBackUntilANewLeaderHasActed(long seed) {
        SimCluster world = world(seed, 6);
        world.cloud.room = 6;
        world.users.submit(job(1, Priority.HIGH, 12, 2, 30));
        world.run(18_000);
        SimWorker held = with(world, JOB).get(0);
        held.withholdReports();
        world.run(24_000);
        SimController old = leader(world);
        old.crash(20_000);
        world.run(48_000);
        SimController now = leader(world);
        assertNotEquals(old.name, now.name);
        world.users.submit(job(2, Priority.HIGH, 12, 1, 4));
        world.run(50_000);
        assertTrue(held.releaseReports(now) >= 2, "reports of the old leader's time arrive at the new one");
        calm(world, 300_000);
    }

    /**
     * A launch that was recorded before the gap, and did not arrive, is not sent again on what its controller knew
     * then.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aLaunchIsNotSentAgainOnAViewThatLacksItsCancellation(long seed) {
        SimCluster world = world(seed, 9);
        world.users.submit(job(1, Priority.HIGH, 18, 2, 60));
        world.cloud.machines.values().forEach(m -> m.deaf = true);
        world.run(10_300 + 20 * seed);
        assertFalse(world.state.all(Keys.SLICES).isEmpty(), "launches were written");
        assertEquals(0, world.checker.starts, "and none arrived");
        long confirmed = gap(world, leader(world), 0, true);
        world.run(confirmed + 5000);
        world.cloud.machines.values().forEach(m -> m.deaf = false);
        world.run(confirmed + 75_000);
        assertEquals(0, world.checker.starts, "nor did any later");
        world.state.refused.clear();
        calm(world, 200_000);
    }
}
