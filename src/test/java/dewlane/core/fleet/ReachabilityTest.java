package dewlane.core.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.model.Heartbeat;
import dewlane.core.model.TestHeartbeats;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests when a machine counts as reachable, and when its worker's heartbeats count as misrouted to this controller. */
class ReachabilityTest {
    private final Reachability reachability = new Reachability(0);

    @Test
    void acquiredMachineIsSuspectedUntilItShowsItsToken() {
        reachability.onAcquired(1000, 7);
        assertTrue(reachability.isSuspected());
        assertFalse(reachability.endsSuspicion(6), "a token of an earlier owner");
        assertTrue(reachability.endsSuspicion(7));
        assertFalse(reachability.wasConfirmed());
        assertEquals(500, reachability.timeSinceLastContactMs(1500));
        reachability.onConfirmed(2000);
        assertFalse(reachability.isSuspected());
        assertTrue(reachability.wasConfirmedWithin(2300, 300));
        assertFalse(reachability.wasConfirmedWithin(2301, 300));
    }

    @Test
    void noHeartbeatEndsSuspicionWhileLaunchIsInFlight() {
        reachability.onAcquired(0, 7);
        reachability.onConfirmed(10);
        reachability.onSuspected(5000, Reachability.NO_TOKEN_ENDS_SUSPICION);
        assertFalse(reachability.endsSuspicion(Long.MAX_VALUE - 1));
        assertTrue(reachability.isProbeDue(5000, 2000), "a suspected machine is probed at once");
        reachability.onProbeSent(5000);
        assertFalse(reachability.isProbeDue(7000, 2000));
        assertTrue(reachability.isProbeDue(7001, 2000));
        assertEquals(
                4990,
                reachability.timeSinceLastContactMs(5000),
                "the time since the last contact includes the time before the suspicion");
        reachability.restartContactTimer(5000);
        assertEquals(0, reachability.timeSinceLastContactMs(5000));
    }

    @Test
    void workerIsMisroutedOnceItReturnsWithNewerHeartbeat() {
        MisroutedHeartbeats misrouted = new MisroutedHeartbeats();
        assertEquals(-1, misrouted.record(heartbeat(1, 5), 1000, 30_000));
        assertEquals(-1, misrouted.record(heartbeat(1, 5), 2000, 30_000), "a copy");
        assertEquals(1500, misrouted.record(heartbeat(1, 6), 2500, 30_000));
        assertEquals(2000, misrouted.record(heartbeat(2, 1), 3000, 30_000), "a later incarnation is newer, too");
        assertEquals(
                -1,
                misrouted.record(heartbeat(2, 9), 31_001, 30_000),
                "the first heartbeat is outside the window, so a new series begins");
        misrouted.reset();
        assertEquals(-1, misrouted.record(heartbeat(2, 10), 31_500, 30_000));
    }

    private static Heartbeat heartbeat(long incarnation, long sequence) {
        return TestHeartbeats.of(incarnation, sequence, 0, List.of());
    }
}
