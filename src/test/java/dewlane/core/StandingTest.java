package dewlane.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.Standing.Limit;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What a controller may do while it lacks its place in the map, the store, its peers or a young view. */
class StandingTest extends ControllerFixture {
    private static Standing standing(int bits) {
        return new Standing(
                (bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0, (bits & 8) != 0, (bits & 16) != 0, (bits & 32) != 0);
    }

    @Test
    void everyLimitTakesAwayWhatItsNameSays() {
        for (int bits = 0; bits < 64; bits++) {
            Standing standing = standing(bits);
            Limit limit = standing.limit();
            boolean keepsWorkers = limit == Limit.NONE || limit == Limit.VIEW_OLD || limit == Limit.STATE_OUT_OF_REACH;
            assertEquals(keepsWorkers, standing.mayAnswerWorkers(), standing.toString());
            if (limit == Limit.NONE) {
                assertTrue(standing.mayDecide() && standing.maySendLaunches(), standing.toString());
            } else if (limit == Limit.VIEW_OLD) {
                assertFalse(standing.maySendLaunches(), standing.toString());
            } else if (limit == Limit.STATE_OUT_OF_REACH || limit == Limit.NOT_JOINED) {
                assertFalse(standing.mayDecide(), standing.toString());
            }
        }
    }

    /** The status of peer n1, which says how new its map is and whether it reaches the store. */
    private static Input peerStatus(long epoch, boolean reachesStore) {
        return new Input.PeerHeard(new PeerStatus("n1", epoch, reachesStore, List.of(), List.of()));
    }

    /** The limits that the controller has logged since effects were last taken. */
    private List<String> takeLimitsLogged() {
        return take(Effect.Log.class).stream()
                .filter(log -> log.level() == Effect.Level.INFO && log.text().startsWith("this controller "))
                .map(log -> log.text().substring("this controller ".length()))
                .toList();
    }

    /** The store stops to answer while a peer is heard, and later the peer is silent, too. */
    @Test
    void limitIsLoggedOnceWhenItChanges() {
        tick(1000);
        assertEquals(List.of(Limit.NONE.meaning()), takeLimitsLogged());
        tick(2300);
        assertEquals(List.of(Limit.STATE_OUT_OF_REACH.meaning()), takeLimitsLogged());
        for (int i = 0; i < 10; i++) {
            receive(1000, peerStatus(1, false));
            tick(0);
        }
        assertEquals(List.of(), takeLimitsLogged(), "an outage for all changes nothing more");
        tick(5500);
        assertEquals(List.of(Limit.ISOLATED.meaning()), takeLimitsLogged());
        receiveHeartbeat(10, 1, heartbeat(1, 1, FIRST_TOKEN));
        assertEquals(1, take(Effect.RefuseReport.class).size());
        receive(10, peerStatus(1, false));
        receive(40_000, peerStatus(1, false));
        tick(0);
        assertEquals(List.of(Limit.VIEW_EXPIRED.meaning()), takeLimitsLogged());
        receive(10, new Input.Changes(List.of(), revision));
        receive(10, new Input.Changes(List.of(), revision));
        tick(1000);
        assertEquals(List.of(Limit.NONE.meaning()), takeLimitsLogged());
        receive(10, peerStatus(9, true));
        tick(1100);
        assertEquals(List.of(Limit.SUPERSEDED.meaning()), takeLimitsLogged());
        receiveHeartbeat(10, 2, heartbeat(1, 2, FIRST_TOKEN));
        assertEquals(1, take(Effect.RefuseReport.class).size());
    }

    /** Seen in a recorded incident: users stayed with a controller that the store refused. */
    @Test
    void controllerThatAloneCannotReachStoreIsUnhealthy() {
        assertTrue(controller.healthy());
        tick(6000);
        assertTrue(controller.healthy(), "in an outage for all, no other would serve better");
        receive(10, peerStatus(1, true));
        assertFalse(controller.healthy());
    }

    @Test
    void controllerWithOldViewLetsItsWorkersLeasesRunOut() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, 0));
        assertEquals(1, take(Effect.AnswerReport.class).size());
        receive(28_000, peerStatus(1, false));
        receiveHeartbeat(0, 2, heartbeat(1, 2, 0));
        assertEquals(1, take(Effect.AnswerReport.class).size(), "what it renews still ends in time");
        receiveHeartbeat(1000, 3, heartbeat(1, 3, 0));
        assertEquals(1, take(Effect.RefuseReport.class).size(), "a cancellation may have been missed");
    }

    /** A fault the users named: without store and peers its lease is over, and others have its machines. */
    @Test
    void isolatedControllerRefusesHeartbeatsButNotInStoreOutageForAll() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, 0));
        assertEquals(1, take(Effect.AnswerReport.class).size());
        receiveHeartbeat(6000, 2, heartbeat(1, 2, 0));
        assertEquals(1, take(Effect.RefuseReport.class).size());
        receive(10, peerStatus(1, false));
        receiveHeartbeat(10, 3, heartbeat(1, 3, 0));
        assertEquals(1, take(Effect.AnswerReport.class).size(), "its peers do not reach the store either");
    }

    @Test
    void settingsThatLeaveNoTimeForCancellationAreWarnedOf() {
        for (double cancelS : new double[] {31, 44}) {
            Controller tight =
                    new Controller(TestSettings.of(List.of(), Map.of(), cancelS, TestSettings.LIMITS), 1, value -> 0);
            boolean warned = tight.handle(0, 0, new Input.Tick()).stream()
                    .anyMatch(e -> e instanceof Effect.Log l && l.text().contains("too short beside lease_s"));
            assertEquals(cancelS == 31, warned);
        }
    }
}
