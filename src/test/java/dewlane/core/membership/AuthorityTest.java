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

/** What a controller may do while it lacks its place in the map, the state service, its peers or a young view. */
class AuthorityTest extends ControllerFixture {
    private static final long TOKEN = 1L << 20;

    private static Authority standing(int bits) {
        return new Authority(
                (bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0, (bits & 8) != 0, (bits & 16) != 0, (bits & 32) != 0);
    }

    @Test
    void everyLimitTakesAwayWhatItSays() {
        for (int bits = 0; bits < 64; bits++) {
            Authority standing = standing(bits);
            Restriction limit = standing.restriction();
            boolean keepsWorkers = limit == Restriction.NONE
                    || limit == Restriction.VIEW_STALE
                    || limit == Restriction.STORE_UNREACHABLE;
            assertEquals(keepsWorkers, standing.mayRenewWorkerLeases(), standing.toString());
            if (limit == Restriction.NONE) {
                assertTrue(standing.mayDecide() && standing.maySendLaunches(), standing.toString());
            } else if (limit == Restriction.VIEW_STALE) {
                assertFalse(standing.maySendLaunches(), standing.toString());
            } else if (limit == Restriction.STORE_UNREACHABLE || limit == Restriction.NOT_A_MEMBER) {
                assertFalse(standing.mayDecide(), standing.toString());
            }
        }
    }

    private List<String> said() {
        return take(Effect.Log.class).stream()
                .filter(log -> log.level() == Effect.Level.INFO && log.text().startsWith("this controller "))
                .map(log -> log.text().substring("this controller ".length()))
                .toList();
    }

    /** The state service stops to answer while a peer is heard, and later the peer is silent, too. */
    @Test
    void theLogSaysWhichCaseItIsIn() {
        hear(1000, new Input.Tick());
        assertEquals(List.of(Restriction.NONE.description()), said());
        hear(2300, new Input.Tick());
        assertEquals(List.of(Restriction.STORE_UNREACHABLE.description()), said());
        for (int i = 0; i < 10; i++) {
            hear(1000, new Input.PeerStatusReceived(new PeerStatus("n1", 1, false, List.of(), List.of())));
            hear(0, new Input.Tick());
        }
        assertEquals(List.of(), said(), "an outage for all changes nothing more");
        hear(5500, new Input.Tick());
        assertEquals(List.of(Restriction.ISOLATED.description()), said());
        hear(10, new Input.HeartbeatReceived(1, report(1, 1, TOKEN)));
        assertEquals(1, take(Effect.RejectHeartbeat.class).size());
        hear(10, new Input.PeerStatusReceived(new PeerStatus("n1", 1, false, List.of(), List.of())));
        hear(40_000, new Input.PeerStatusReceived(new PeerStatus("n1", 1, false, List.of(), List.of())));
        hear(0, new Input.Tick());
        assertEquals(List.of(Restriction.VIEW_EXPIRED.description()), said());
        hear(10, new Input.WatchEvents(List.of(), revision));
        hear(10, new Input.WatchEvents(List.of(), revision));
        hear(1000, new Input.Tick());
        assertEquals(List.of(Restriction.NONE.description()), said());
        hear(10, new Input.PeerStatusReceived(new PeerStatus("n1", 9, true, List.of(), List.of())));
        hear(1100, new Input.Tick());
        assertEquals(List.of(Restriction.SUPERSEDED.description()), said());
        hear(10, new Input.HeartbeatReceived(2, report(1, 2, TOKEN)));
        assertEquals(1, take(Effect.RejectHeartbeat.class).size());
    }

    /** Seen in a recorded incident: users stayed with a controller that the state service refused. */
    @Test
    void aControllerThatAloneCannotReachTheStateServiceIsNotHealthy() {
        assertTrue(controller.isHealthy());
        hear(6000, new Input.Tick());
        assertTrue(controller.isHealthy(), "in an outage for all, no other would serve better");
        hear(10, new Input.PeerStatusReceived(new PeerStatus("n1", 1, true, List.of(), List.of())));
        assertFalse(controller.isHealthy());
    }

    @Test
    void aControllerWithoutWordFromTheStateServiceLetsItsWorkersLeasesRunOut() {
        hear(60, new Input.HeartbeatReceived(1, report(1, 1, 0)));
        assertEquals(1, take(Effect.AnswerHeartbeat.class).size());
        hear(28_000, new Input.PeerStatusReceived(new PeerStatus("n1", 1, false, List.of(), List.of())));
        hear(0, new Input.HeartbeatReceived(2, report(1, 2, 0)));
        assertEquals(1, take(Effect.AnswerHeartbeat.class).size(), "what it renews still ends in time");
        hear(1000, new Input.HeartbeatReceived(3, report(1, 3, 0)));
        assertEquals(1, take(Effect.RejectHeartbeat.class).size(), "a cancellation may have been missed");
    }

    /** A trouble the users named: without state service and peers its lease is over, and others have its machines. */
    @Test
    void aControllerThatOnlyItsWorkersReachSendsThemAwayButNotInAnOutageForAll() {
        hear(60, new Input.HeartbeatReceived(1, report(1, 1, 0)));
        assertEquals(1, take(Effect.AnswerHeartbeat.class).size());
        hear(6000, new Input.HeartbeatReceived(2, report(1, 2, 0)));
        assertEquals(1, take(Effect.RejectHeartbeat.class).size());
        hear(10, new Input.PeerStatusReceived(new PeerStatus("n1", 1, false, List.of(), List.of())));
        hear(10, new Input.HeartbeatReceived(3, report(1, 3, 0)));
        assertEquals(1, take(Effect.AnswerHeartbeat.class).size(), "its peers do not reach the state service either");
    }

    @Test
    void settingsThatLeaveNoTimeForACancellationAreWarnedOf() {
        for (double cancelS : new double[] {31, 44}) {
            Controller tight =
                    new Controller(TestSettings.of(List.of(), Map.of(), cancelS, TestSettings.LIMITS), 1, value -> 0);
            boolean warned = tight.handle(0, 0, new Input.Tick()).stream()
                    .anyMatch(e -> e instanceof Effect.Log l && l.text().contains("too short beside lease_s"));
            assertEquals(cancelS == 31, warned);
        }
    }
}
