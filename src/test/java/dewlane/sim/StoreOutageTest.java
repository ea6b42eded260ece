package dewlane.sim;

import static dewlane.sim.SimFixtures.NO_QUOTA;
import static dewlane.sim.SimFixtures.anotherController;
import static dewlane.sim.SimFixtures.assertRecovers;
import static dewlane.sim.SimFixtures.cluster;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobId;
import static dewlane.sim.SimFixtures.leader;
import static dewlane.sim.SimFixtures.partitionMap;
import static dewlane.sim.SimFixtures.runningTasks;
import static dewlane.sim.SimFixtures.workersRunning;
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
        return JobBuilder.job(jobId(number))
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
    private static long gap(SimCluster cluster, SimController leader, long afterMs, boolean untold) {
        cluster.store.refusedControllers.add(leader.name);
        cluster.runFor(afterMs);
        SimController confirming = anotherController(cluster, leader);
        cluster.users.cancelThrough(confirming, JOB);
        for (int step = 0; step < 200 && cluster.checker.lastReportedCondition(JOB) != Condition.ABORTED; step++) {
            cluster.runFor(5);
        }
        if (untold) {
            confirming.crash(50_000);
        }
        cluster.runFor(700);
        assertEquals(Condition.ABORTED, cluster.checker.lastReportedCondition(JOB), "another controller confirmed it");
        long confirmed = cluster.now();
        cluster.store.outage((long) (cluster.settings.cancelS() * 1000) + 12_000);
        return confirmed;
    }

    /**
     * The gap: the leader, refused alone, never sees the cancellations that others confirmed just before the outage,
     * and the workers keep reporting to it.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void refusedAloneThenAnOutageLongerThanACancellationHas(long seed) {
        SimCluster cluster = cluster(seed, 9);
        cluster.users.submit(job(1, Priority.HIGH, 18, 2, 400));
        cluster.runUntil(25_000);
        assertEquals(18, runningTasks(cluster, JOB));
        SimController leader = leader(cluster);
        long confirmed = gap(cluster, leader, 300 * seed, true);
        assertTrue(
                cluster.cloud.machines.values().stream()
                        .anyMatch(
                                m -> m.runningTasks() > 0 && m.heartbeatTarget().equals(leader.name)),
                "tasks run on machines that report to the one that was refused");
        cluster.runUntil(confirmed + 10_000);
        assertTrue(runningTasks(cluster, JOB) > 0, "it cannot know yet");
        cluster.runUntil(confirmed + (long) (cluster.settings.cancelS() * 1000));
        assertEquals(0, runningTasks(cluster, JOB));
        cluster.store.refusedControllers.clear();
        assertRecovers(cluster, 200_000);
    }

    /**
     * The times of the deployments with the shortest and the longest lease: what is lost follows from them, not from
     * seconds in the code.
     */
    @ParameterizedTest
    @CsvSource({"2.5, 14, 44", "5, 31, 61"})
    void controllersThatEndAndARollCostNoTaskWhateverTheLease(double reportS, double leaseS, double cancelS) {
        SimCluster cluster = SimCluster.quiet(4, NO_QUOTA, 16, 12, reportS, leaseS, cancelS);
        cluster.users.submit(job(1, Priority.HIGH, 24, 2, 150));
        cluster.runUntil(25_000);
        leader(cluster).crash(8000);
        cluster.runUntil(50_000);
        for (SimController controller : List.copyOf(cluster.controllers.values())) {
            controller.crash(2000);
            cluster.runFor(15_000);
        }
        assertEquals(24, cluster.checker.taskStarts);
        assertEquals(12, cluster.cloud.machines.size());
        cluster.users.submit(job(2, Priority.HIGH, 12, 1, 300));
        cluster.runUntil(110_000);
        SimController refused = leader(cluster);
        cluster.store.refusedControllers.add(refused.name);
        cluster.users.cancelThrough(anotherController(cluster, refused), jobId(2));
        cluster.runUntil(111_000);
        cluster.store.outage((long) (1000 * cancelS) + 10_000);
        cluster.runUntil(111_000 + (long) (1000 * cancelS));
        assertEquals(0, runningTasks(cluster, jobId(2)));
        cluster.store.refusedControllers.clear();
        assertRecovers(cluster, 400_000);
    }

    /** The same while peers still hear one another: the owner stops the tasks at once, and those of others go on. */
    @Test
    void whatAPeerConfirmedIsStoppedWithoutTheStateService() {
        SimCluster cluster = cluster(6, 9);
        cluster.users.submit(job(1, Priority.HIGH, 10, 2, 400));
        cluster.users.submit(job(2, Priority.HIGH, 8, 2, 50));
        cluster.runUntil(25_000);
        long confirmed = gap(cluster, leader(cluster), 500, false);
        cluster.runUntil(confirmed + 4000);
        assertEquals(0, runningTasks(cluster, JOB));
        assertEquals(8, runningTasks(cluster, jobId(2)));
        cluster.store.refusedControllers.clear();
        assertRecovers(cluster, 300_000);
    }

    /** In the gap, a machine that hangs with a cancelled task is deleted though no record of it can be written. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aMachineThatHangsInTheGapIsDeletedWithoutARecord(long seed) {
        SimCluster cluster = cluster(seed, 9);
        cluster.users.submit(job(1, Priority.HIGH, 18, 2, 400));
        cluster.runUntil(25_000);
        List<SimWorker> hanging = workersRunning(cluster, JOB).subList(0, 4);
        hanging.forEach(m -> m.frozenUntil = 500_000);
        long confirmed = gap(cluster, leader(cluster), 500, false);
        cluster.runUntil(confirmed + 50_000);
        assertTrue(cluster.store.unavailable, "still out");
        assertTrue(hanging.stream().allMatch(m -> m.terminated), "deleted");
        cluster.runUntil(confirmed + 75_000);
        cluster.store.refusedControllers.clear();
        assertRecovers(cluster, 200_000);
    }

    @Test
    void urgentWorkMeetsAFullFleetOverSlowLinks() {
        SimCluster cluster = cluster(7, 6);
        cluster.cloud.capacity = 6;
        cluster.extraLinkLatencyMs = 250;
        cluster.store.extraLatencyMs = 700;
        for (int i = 1; i <= 6; i++) {
            cluster.users.submit(job(i, Priority.IDLE, 8, 1, 120));
        }
        cluster.runUntil(40_000);
        assertTrue(cluster.cloud.machines.values().stream().allMatch(m -> m.runningTasks() >= 3), "the fleet is full");
        cluster.users.submit(JobBuilder.job(jobId(7))
                .priority(Priority.CRITICAL)
                .tasks(8)
                .estimateS(5)
                .deadlineS(20)
                .build());
        cluster.runUntil(75_000);
        assertEquals(8, cluster.recentTrace("start " + jobId(7)).lines().count(), "urgent tasks began");
        assertTrue(cluster.recentTrace("STOPPED").lines().count() > 0, "others were stopped for them");
        assertRecovers(cluster, 900_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void jobsBoundToZonesLoseMachines(long seed) {
        SimCluster cluster = cluster(seed, 6);
        for (int i = 0; i < 6; i++) {
            cluster.cloud.create("small", "west", true).boot();
        }
        cluster.cloud.capacity = 12;
        cluster.runUntil(15_000);
        cluster.users.submit(placed(1, 6, null, true, false));
        cluster.users.submit(placed(2, 7, null, false, true));
        cluster.users.submit(placed(3, 6, "west", false, false));
        cluster.runUntil(25_000);
        for (int i = 1; i <= 3; i++) {
            assertTrue(runningTasks(cluster, jobId(i)) > 0, i + " runs");
            workersRunning(cluster, jobId(i)).get(0).terminate();
        }
        cluster.runUntil(30_000);
        workersRunning(cluster, jobId(2)).get(0).terminate();
        assertRecovers(cluster, 300_000);
        assertTrue(cluster.checker.taskStarts > 19, "tasks were lost and begun again");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void aZoneWithWorkersAndAControllerIsCutOffForLongerThanALease(long seed) {
        SimCluster cluster = cluster(seed, 6);
        for (int i = 0; i < 6; i++) {
            cluster.cloud.create("small", "west", true).boot();
        }
        cluster.runUntil(15_000);
        cluster.users.submit(job(1, Priority.HIGH, 20, 2, 60));
        cluster.runUntil(25_000);
        SimController inside = cluster.controllers.get("n0");
        inside.cutFromStore = true;
        inside.cutFromPeers = true;
        for (SimWorker m : cluster.cloud.machines.values()) {
            m.blockedControllers.addAll(m.zone.equals("west") ? List.of("n1", "n2") : List.of("n0"));
        }
        long west = cluster.cloud.machines.values().stream()
                .filter(m -> m.zone.equals("west"))
                .mapToLong(SimWorker::runningTasks)
                .sum();
        assertTrue(west > 0, "tasks run in the zone");
        cluster.users.cancelThrough(cluster.controllers.get("n1"), JOB);
        cluster.users.submit(job(2, Priority.HIGH, 6, 2, 5));
        cluster.runUntil(25_000 + 1000 * (long) cluster.settings.leaseS() + 25_000);
        inside.cutFromStore = false;
        inside.cutFromPeers = false;
        cluster.cloud.machines.values().forEach(m -> m.blockedControllers.clear());
        assertRecovers(cluster, 200_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void oldReportsArriveAfterNewerOnesAlsoOfEarlierSessionsAndAttempts(long seed) {
        SimCluster cluster = cluster(seed, 4);
        cluster.cloud.capacity = 4;
        cluster.users.submit(job(1, Priority.HIGH, 8, 2, 90));
        cluster.runUntil(16_000);
        SimWorker machine = workersRunning(cluster, JOB).get(0);
        List<dewlane.core.Report> old = new ArrayList<>(List.of(machine.nextHeartbeat(), machine.nextHeartbeat()));
        long session = machine.incarnation();
        machine.disconnected = true;
        cluster.runUntil(50_000);
        machine.disconnected = false;
        cluster.runUntil(120_000);
        if (!machine.terminated) {
            assertNotEquals(session, machine.incarnation());
        }
        SimWorker again = workersRunning(cluster, JOB).get(0);
        old.add(again.nextHeartbeat());
        assertTrue(cluster.checker.taskStarts > 8, "tasks of the earlier session were begun again");
        cluster.users.submit(job(2, Priority.HIGH, 6, 1, 4));
        for (int i = 0; i < old.size(); i++) {
            for (SimController controller : cluster.controllers.values()) {
                machine.deliverHeartbeatCopy(old.get(i), controller, 500 + 1500L * i);
                machine.deliverHeartbeatCopy(old.get(i), controller, 40_000 + 1500L * i);
            }
        }
        assertRecovers(cluster, 300_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void unansweredTransactionsAreCarriedOutAfterNewerOnes(long seed) {
        SimCluster cluster = cluster(seed, 8);
        cluster.store.delayedWriteRate = 0.4;
        for (int i = 1; i <= 14; i++) {
            Job job = job(i, Priority.values()[i % 4], 6, 1 + i % 2, 6);
            cluster.after(i * 2000L, () -> cluster.users.submit(job));
            if (i % 3 == 0) {
                cluster.after(i * 2000L + 4000, () -> cluster.users.cancel(job.id()));
            }
        }
        cluster.after(12_000, () -> leader(cluster).crash(3000));
        cluster.runUntil(50_000);
        assertTrue(cluster.store.delayedWrites > 20, cluster.store.delayedWrites + " late");
        assertTrue(
                cluster.store.delayedWritesCommitted > 0
                        && cluster.store.delayedWritesCommitted < cluster.store.delayedWrites,
                cluster.store.delayedWritesCommitted + " of " + cluster.store.delayedWrites + " changed something");
        cluster.store.delayedWriteRate = 0;
        assertRecovers(cluster, 300_000);
    }

    /**
     * Commands held up by a machine that hangs are carried out when it goes on, and their job is cancelled meanwhile.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aCommandIsHeldUpForSecondsAndItsJobIsCancelledMeanwhile(long seed) {
        SimCluster cluster = cluster(seed, 3);
        cluster.cloud.capacity = 3;
        cluster.users.submit(job(1, Priority.HIGH, 6, 2, 60));
        cluster.runUntil(10_120);
        cluster.cloud.machines.values().forEach(m -> m.frozenUntil = cluster.now() + 6000);
        cluster.runUntil(13_000);
        assertFalse(cluster.store.scan(Keys.SLICES).isEmpty(), "launches were written");
        assertEquals(0, cluster.checker.taskStarts, "and none arrived");
        if (seed != 2) {
            cluster.users.cancel(JOB);
        }
        cluster.runUntil(20_000);
        assertEquals(0, seed == 2 ? 0 : runningTasks(cluster, JOB));
        assertRecovers(cluster, 200_000);
        assertTrue(seed != 2 || cluster.checker.taskStarts == 6, "each held launch began once");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void leadersChangeTenTimesInTwoMinutesAlsoInsideAnOutage(long seed) {
        SimCluster cluster = cluster(seed, 8);
        cluster.users.submit(job(1, Priority.HIGH, 12, 2, 150));
        cluster.runUntil(20_000);
        List<String> led = new ArrayList<>();
        for (int i = 0; i < 11; i++) {
            SimController leader = leader(cluster);
            led.add(leader.name + "@" + partitionMap(cluster).incarnation(leader.name));
            if (leader.alive) {
                leader.crash(3000);
            }
            cluster.users.submit(job(2 + i, Priority.HIGH, 3, 1, 3));
            if (i == 5) {
                cluster.store.outage(9000);
            }
            cluster.runFor(11_000);
        }
        assertTrue(led.stream().distinct().count() >= 10, "leaders: " + led);
        assertRecovers(cluster, 300_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void tasksOfSmallJobsEndFarApartAcrossChangesOfLeader(long seed) {
        SimCluster cluster = cluster(seed, 1);
        cluster.cloud.capacity = 1;
        for (int i = 1; i <= 3; i++) {
            cluster.users.submit(job(i, Priority.HIGH, 1 + i % 3, 4, 25));
        }
        int ends = 0;
        for (int i = 0; i < 6; i++) {
            int before = cluster.checker.taskStarts;
            cluster.runFor(25_000);
            ends += cluster.checker.taskStarts - before;
            leader(cluster).crash(2000);
        }
        assertTrue(ends >= 4, "they ran one after the other: " + ends);
        assertRecovers(cluster, 200_000);
        assertEquals(6, cluster.checker.taskStarts, "and each once");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aLeaderEndsWhileMachinesWithLongTasksCannotBeReachedOrDoNotHear(long seed) {
        SimCluster cluster = cluster(seed, 9);
        cluster.users.submit(job(1, Priority.HIGH, 18, 2, 90));
        cluster.runUntil(25_000);
        List<SimWorker> machines = List.copyOf(cluster.cloud.machines.values());
        machines.get(0).disconnected = true;
        machines.get(1).disconnected = true;
        machines.get(2).inboundBlocked = true;
        machines.get(3).inboundBlocked = true;
        leader(cluster).crash(8000);
        cluster.runUntil(33_000);
        assertTrue(partitionMap(cluster).members().size() < 3, "it has been taken out of the map");
        machines.get(1).disconnected = false;
        machines.get(3).inboundBlocked = false;
        cluster.runUntil(80_000);
        machines.get(0).disconnected = false;
        machines.get(2).inboundBlocked = false;
        assertRecovers(cluster, 300_000);
        assertTrue(cluster.checker.taskStarts > 18, "what could not be reached in time was begun again");
        assertTrue(machines.stream().skip(4).noneMatch(m -> m.terminated), "and the others lost nothing");
    }

    /** The checker holds each job to the one final state that a user was told first. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancellationsQuestionsAndRepeatsMeetTheEndOfTheLastTask(long seed) {
        SimCluster cluster = cluster(seed, 6);
        cluster.users.cancelOnCompletionRate = 0.7;
        cluster.every(250, () -> {
            for (String id : cluster.users.accepted()) {
                if (cluster.checker.allTasksDone(id) && cluster.now() < 60_000) {
                    SimController controller =
                            List.copyOf(cluster.controllers.values()).get(cluster.random.nextInt(3));
                    cluster.users.pollThrough(controller, id);
                    cluster.users.resubmitThrough(controller, id);
                }
            }
        });
        for (int i = 1; i <= 30; i++) {
            Job job = job(i, Priority.HIGH, 1 + i % 3, 1, 2);
            cluster.after(i * 800L, () -> cluster.users.submit(job));
        }
        assertRecovers(cluster, 100_000);
        long cancelled = cluster.store.scan(Keys.FINALS).values().stream()
                .filter(f -> ((Value.FinalRecord) f).aborted())
                .count();
        assertTrue(cancelled > 0 && cancelled < 30, cancelled + " of 30 were cancelled before their end was written");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void allControllersAreAwayForLongerThanALease(long seed) {
        SimCluster cluster = cluster(seed, 6);
        cluster.users.submit(job(1, Priority.HIGH, 12, 2, 80));
        cluster.users.submit(job(2, Priority.HIGH, 2, 2, 80));
        cluster.runUntil(20_000);
        cluster.users.cancel(jobId(2));
        cluster.runUntil(20_500);
        cluster.controllers.values().forEach(n -> n.crash(36_000));
        cluster.runUntil(56_000);
        assertEquals(0, runningTasks(cluster, JOB), "their leases have ended");
        assertNotNull(cluster.store.get(Keys.job(JOB)));
        assertRecovers(cluster, 300_000);
        assertTrue(cluster.checker.taskStarts >= 24, "every task was begun again");
    }

    /** A limit that is lent launch by launch, and one that the controllers share. */
    @ParameterizedTest
    @ValueSource(doubles = {12, 1200})
    void aTeamIsAtItsLimitWhenTheLeaderChangesAndItsMachinesCannotBeAsked(double limit) {
        int machines = limit > 100 ? 320 : 6;
        SimCluster cluster =
                SimCluster.quiet(3, Map.of("blue", new Settings.Team("blue", 0, 0, limit, 0)), 16, machines);
        cluster.cloud.capacity = machines;
        int tasks = (int) limit / 4;
        cluster.users.submit(job(1, Priority.HIGH, tasks, 2, 60));
        cluster.users.submit(job(2, Priority.HIGH, tasks, 2, 60));
        cluster.users.submit(job(3, Priority.HIGH, tasks, 2, 10));
        cluster.runUntil(40_000);
        long before = runningTasks(cluster, JOB) + runningTasks(cluster, jobId(2)) + runningTasks(cluster, jobId(3));
        assertTrue(before * 2 > limit * 0.95, before + " tasks are as many as the limit allows");
        List<SimWorker> lost = workersRunning(cluster, JOB)
                .subList(0, Math.max(1, workersRunning(cluster, JOB).size() / 3));
        lost.forEach(m -> m.disconnected = true);
        leader(cluster).crash(6000);
        cluster.runUntil(41_000);
        cluster.users.cancel(JOB);
        cluster.runUntil(52_000);
        assertEquals(Condition.ABORTED, cluster.checker.lastReportedCondition(JOB));
        assertTrue(lost.stream().anyMatch(m -> m.runningTasks(JOB) > 0), "what cannot be asked still runs");
        cluster.runUntil(65_000);
        lost.forEach(m -> m.disconnected = false);
        assertRecovers(cluster, 300_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void usersCancelAndAskWhileTheStateServiceIsSlowThenRefusesOneThenAll(long seed) {
        SimCluster cluster = cluster(seed, 8);
        cluster.users.submit(job(1, Priority.HIGH, 12, 2, 300));
        cluster.users.submit(job(2, Priority.HIGH, 2, 2, 300));
        cluster.runUntil(22_000);
        cluster.every(300, cluster.users::pollRandomJob);
        cluster.store.extraLatencyMs = 1300;
        cluster.runUntil(28_000);
        cluster.users.cancel(jobId(2));
        cluster.runUntil(31_000);
        SimController leader = leader(cluster);
        cluster.store.refusedControllers.add(leader.name);
        cluster.users.cancelThrough(anotherController(cluster, leader), JOB);
        cluster.runUntil(35_500);
        assertEquals(Condition.ABORTED, cluster.checker.lastReportedCondition(JOB));
        cluster.store.outage(70_000);
        cluster.runUntil(106_500);
        cluster.store.refusedControllers.clear();
        cluster.store.extraLatencyMs = 0;
        assertRecovers(cluster, 200_000);
    }

    /** What is launched by direct commands on a machine that cannot report is lost with its lease. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void workersReachNoControllerWhileCommandsReachThem(long seed) {
        SimCluster cluster = cluster(seed, 6);
        cluster.cloud.capacity = 6;
        cluster.runUntil(12_000);
        SimWorker mute = List.copyOf(cluster.cloud.machines.values()).get(0);
        mute.outboundBlocked = true;
        for (int i = 1; i <= 60; i++) {
            Job job = job(i, Priority.HIGH, 20, 1, 4);
            cluster.after(i * 900L, () -> cluster.users.submit(job));
        }
        cluster.runUntil(14_000);
        assertTrue(mute.runningTasks() > 0, "commands reach it");
        cluster.runUntil(40_000);
        String launched = cluster.recentTrace("on " + mute.name);
        assertFalse(
                launched.lines()
                        .anyMatch(
                                l -> l.contains(" start ") && Long.parseLong(l.substring(0, l.indexOf(' '))) > 33_000),
                "nothing more began there\n" + launched);
        mute.outboundBlocked = false;
        assertRecovers(cluster, 300_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aLeaderThatOnlyWorkersAndUsersReachMissesWhatItsSuccessorCancels(long seed) {
        SimCluster cluster = cluster(seed, 9);
        cluster.users.submit(job(1, Priority.HIGH, 18, 2, 300));
        cluster.runUntil(25_000);
        SimController leader = leader(cluster);
        leader.cutFromStore = true;
        leader.cutFromPeers = true;
        cluster.runUntil(25_000 + 1500 * seed);
        cluster.users.cancelThrough(anotherController(cluster, leader), JOB);
        cluster.every(500, () -> cluster.users.pollThrough(leader, JOB));
        cluster.runUntil(100_000);
        assertNotEquals(leader.name, Partitions.leader(partitionMap(cluster)), "another leads");
        leader.cutFromStore = false;
        leader.cutFromPeers = false;
        assertRecovers(cluster, 200_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void controllersHandOverAndBackAllEndAndOneReturnsWithinASecond(long seed) {
        SimCluster cluster = cluster(seed, 9);
        cluster.users.submit(job(1, Priority.HIGH, 18, 2, 60));
        cluster.runUntil(25_000);
        cluster.controllers.get("n0").crash(4500);
        cluster.runUntil(34_000);
        cluster.controllers.get("n1").crash(4500);
        cluster.users.submit(job(2, Priority.HIGH, 5, 1, 3));
        cluster.runUntil(43_000);
        cluster.controllers.get("n0").crash(400 * seed);
        cluster.controllers.get("n1").crash(9000);
        cluster.controllers.get("n2").crash(9000);
        cluster.runUntil(43_900);
        cluster.controllers.values().stream().filter(n -> n.alive).forEach(n -> n.crash(200));
        cluster.users.submit(job(3, Priority.HIGH, 5, 1, 3));
        assertRecovers(cluster, 200_000);
        assertEquals(28, cluster.checker.taskStarts, "no task was lost");
        assertTrue(
                partitionMap(cluster).epoch() > 8,
                "epoch " + partitionMap(cluster).epoch());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void reportsAreHeldBackUntilANewLeaderHasActed(long seed) {
        SimCluster cluster = cluster(seed, 6);
        cluster.cloud.capacity = 6;
        cluster.users.submit(job(1, Priority.HIGH, 12, 2, 30));
        cluster.runUntil(18_000);
        SimWorker held = workersRunning(cluster, JOB).get(0);
        held.withholdHeartbeats();
        cluster.runUntil(24_000);
        SimController old = leader(cluster);
        old.crash(20_000);
        cluster.runUntil(48_000);
        SimController now = leader(cluster);
        assertNotEquals(old.name, now.name);
        cluster.users.submit(job(2, Priority.HIGH, 12, 1, 4));
        cluster.runUntil(50_000);
        assertTrue(held.releaseHeartbeats(now) >= 2, "reports of the old leader's time arrive at the new one");
        assertRecovers(cluster, 300_000);
    }

    /**
     * A launch that was recorded before the gap, and did not arrive, is not sent again on what its controller knew
     * then.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aLaunchIsNotSentAgainOnAViewThatLacksItsCancellation(long seed) {
        SimCluster cluster = cluster(seed, 9);
        cluster.users.submit(job(1, Priority.HIGH, 18, 2, 60));
        cluster.cloud.machines.values().forEach(m -> m.inboundBlocked = true);
        cluster.runUntil(10_300 + 20 * seed);
        assertFalse(cluster.store.scan(Keys.SLICES).isEmpty(), "launches were written");
        assertEquals(0, cluster.checker.taskStarts, "and none arrived");
        long confirmed = gap(cluster, leader(cluster), 0, true);
        cluster.runUntil(confirmed + 5000);
        cluster.cloud.machines.values().forEach(m -> m.inboundBlocked = false);
        cluster.runUntil(confirmed + 75_000);
        assertEquals(0, cluster.checker.taskStarts, "nor did any later");
        cluster.store.refusedControllers.clear();
        assertRecovers(cluster, 200_000);
    }
}
