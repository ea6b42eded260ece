package dewlane.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.config.TestSettings;
import dewlane.core.controller.Controller;
import dewlane.core.controller.ControllerFixture;
import dewlane.core.membership.Authority.Restriction;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.PeerStatus;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What a controller may do while it lacks its place in the map, the store, its peers or a young view. */
class AuthorityTest extends ControllerFixture {
    private static Authority standing(int bits) {
        return new Authority(
                (bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0, (bits & 8) != 0, (bits & 16) != 0, (bits & 32) != 0);
    }

    @Test
    void everyLimitTakesAwayWhatItsNameSays() {
        for (int bits = 0; bits < 64; bits++) {
            Authority standing = standing(bits);
            Restriction limit = standing.restriction();
            boolean keepsWorkers = limit == Restriction.NONE
                    || limit == Restriction.REPLICA_STALE
                    || limit == Restriction.STORE_UNREACHABLE;
            assertEquals(keepsWorkers, standing.mayRenewWorkerLeases(), standing.toString());
            if (limit == Restriction.NONE) {
                assertTrue(standing.mayDecide() && standing.maySendLaunches(), standing.toString());
            } else if (limit == Restriction.REPLICA_STALE) {
                assertFalse(standing.maySendLaunches(), standing.toString());
            } else if (limit == Restriction.STORE_UNREACHABLE || limit == Restriction.NOT_A_MEMBER) {
                assertFalse(standing.mayDecide(), standing.toString());
            }
        }
    }

    /** The status of peer n1, which says how new its map is and whether it reaches the store. */
    private static Input peerStatus(long epoch, boolean reachesStore) {
        return new Input.PeerStatusReceived(new PeerStatus("n1", epoch, reachesStore, List.of(), List.of()));
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
        assertEquals(List.of(Restriction.NONE.description()), takeLimitsLogged());
        tick(2300);
        assertEquals(List.of(Restriction.STORE_UNREACHABLE.description()), takeLimitsLogged());
        for (int i = 0; i < 10; i++) {
            receive(1000, peerStatus(1, false));
            tick(0);
        }
        assertEquals(List.of(), takeLimitsLogged(), "an outage for all changes nothing more");
        tick(5500);
        assertEquals(List.of(Restriction.ISOLATED.description()), takeLimitsLogged());
        receiveHeartbeat(10, 1, heartbeat(1, 1, FIRST_TOKEN));
        assertEquals(1, take(Effect.RejectHeartbeat.class).size());
        receive(10, peerStatus(1, false));
        receive(40_000, peerStatus(1, false));
        tick(0);
        assertEquals(List.of(Restriction.REPLICA_TOO_OLD.description()), takeLimitsLogged());
        receive(10, new Input.WatchEvents(List.of(), revision()));
        receive(10, new Input.WatchEvents(List.of(), revision()));
        tick(1000);
        assertEquals(List.of(Restriction.NONE.description()), takeLimitsLogged());
        receive(10, peerStatus(9, true));
        tick(1100);
        assertEquals(List.of(Restriction.SUPERSEDED.description()), takeLimitsLogged());
        receiveHeartbeat(10, 2, heartbeat(1, 2, FIRST_TOKEN));
        assertEquals(1, take(Effect.RejectHeartbeat.class).size());
    }

    /** Seen in a recorded incident: users stayed with a controller that the store refused. */
    @Test
    void controllerThatAloneCannotReachStoreIsUnhealthy() {
        assertTrue(controller.isHealthy());
        tick(6000);
        assertTrue(controller.isHealthy(), "in an outage for all, no other would serve better");
        receive(10, peerStatus(1, true));
        assertFalse(controller.isHealthy());
    }

    @Test
    void controllerWithOldViewLetsItsWorkersLeasesRunOut() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, 0));
        assertEquals(1, take(Effect.AnswerHeartbeat.class).size());
        receive(28_000, peerStatus(1, false));
        receiveHeartbeat(0, 2, heartbeat(1, 2, 0));
        assertEquals(1, take(Effect.AnswerHeartbeat.class).size(), "what it renews still ends in time");
        receiveHeartbeat(1000, 3, heartbeat(1, 3, 0));
        assertEquals(1, take(Effect.RejectHeartbeat.class).size(), "a cancellation may have been missed");
    }

    /** A fault the users named: without store and peers its lease is over, and others have its machines. */
    @Test
    void isolatedControllerRefusesHeartbeatsButNotInStoreOutageForAll() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, 0));
        assertEquals(1, take(Effect.AnswerHeartbeat.class).size());
        receiveHeartbeat(6000, 2, heartbeat(1, 2, 0));
        assertEquals(1, take(Effect.RejectHeartbeat.class).size());
        receive(10, peerStatus(1, false));
        receiveHeartbeat(10, 3, heartbeat(1, 3, 0));
        assertEquals(1, take(Effect.AnswerHeartbeat.class).size(), "its peers do not reach the store either");
    }

    @Test
    void settingsThatLeaveNoTimeForCancellationAreWarnedOf() {
        for (double cancelS : new double[] {31, 44}) {
            Controller tight = new Controller(
                    TestSettings.of(List.of(), Map.of(), cancelS, TestSettings.STORE_LIMITS), 1, value -> 0);
            boolean warned = tight.handle(0, 0, new Input.Tick()).stream()
                    .anyMatch(e -> e instanceof Effect.Log l && l.text().contains("too short beside lease_s"));
            assertEquals(cancelS == 31, warned);
        }
    }
}
