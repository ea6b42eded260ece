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

/** Tests what a controller may do if it is not a member, cannot reach the store or its peers, or its replica is old. */
class AuthorityTest extends ControllerFixture {
    private static Authority authority(int bits) {
        return new Authority(
                (bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0, (bits & 8) != 0, (bits & 16) != 0, (bits & 32) != 0);
    }

    @Test
    void eachRestrictionForbidsWhatItsNameSays() {
        for (int bits = 0; bits < 64; bits++) {
            Authority authority = authority(bits);
            Restriction restriction = authority.restriction();
            boolean renewsLeases = restriction == Restriction.NONE
                    || restriction == Restriction.REPLICA_STALE
                    || restriction == Restriction.STORE_UNREACHABLE;
            assertEquals(renewsLeases, authority.mayRenewWorkerLeases(), authority.toString());
            if (restriction == Restriction.NONE) {
                assertTrue(authority.mayDecide() && authority.maySendLaunches(), authority.toString());
            } else if (restriction == Restriction.REPLICA_STALE) {
                assertFalse(authority.maySendLaunches(), authority.toString());
            } else if (restriction == Restriction.STORE_UNREACHABLE || restriction == Restriction.NOT_A_MEMBER) {
                assertFalse(authority.mayDecide(), authority.toString());
            }
        }
    }

    /** The status of peer n1, with the epoch of its map and whether it reaches the store. */
    private static Input peerStatus(long epoch, boolean storeReachable) {
        return new Input.PeerStatusReceived(new PeerStatus("n1", epoch, storeReachable, List.of(), List.of()));
    }

    /** Returns the restrictions that the controller has logged since effects were last taken. */
    private List<String> takeLoggedRestrictions() {
        return take(Effect.Log.class).stream()
                .filter(log -> log.level() == Effect.Level.INFO && log.text().startsWith("this controller "))
                .map(log -> log.text().substring("this controller ".length()))
                .toList();
    }

    /** The store stops answering while the statuses of a peer arrive; later, these stop as well. */
    @Test
    void restrictionIsLoggedOnceWhenItChanges() {
        tick(1000);
        assertEquals(List.of(Restriction.NONE.description()), takeLoggedRestrictions());
        tick(2300);
        assertEquals(List.of(Restriction.STORE_UNREACHABLE.description()), takeLoggedRestrictions());
        for (int i = 0; i < 10; i++) {
            receive(1000, peerStatus(1, false));
            tick(0);
        }
        assertEquals(List.of(), takeLoggedRestrictions(), "an outage for all controllers changes nothing more");
        tick(5500);
        assertEquals(List.of(Restriction.ISOLATED.description()), takeLoggedRestrictions());
        receiveHeartbeat(10, 1, heartbeat(1, 1, FIRST_TOKEN));
        assertEquals(1, take(Effect.RejectHeartbeat.class).size());
        receive(10, peerStatus(1, false));
        receive(40_000, peerStatus(1, false));
        tick(0);
        assertEquals(List.of(Restriction.REPLICA_TOO_OLD.description()), takeLoggedRestrictions());
        receiveChanges(10, List.of());
        receiveChanges(10, List.of());
        tick(1000);
        assertEquals(List.of(Restriction.NONE.description()), takeLoggedRestrictions());
        receive(10, peerStatus(9, true));
        tick(1100);
        assertEquals(List.of(Restriction.SUPERSEDED.description()), takeLoggedRestrictions());
        receiveHeartbeat(10, 2, heartbeat(1, 2, FIRST_TOKEN));
        assertEquals(1, take(Effect.RejectHeartbeat.class).size());
    }

    /**
     * Guards against users being sent to a controller that cannot reach the store while others can, as in an incident.
     */
    @Test
    void controllerThatAloneCannotReachStoreIsUnhealthy() {
        assertTrue(controller.isHealthy());
        tick(6000);
        assertTrue(controller.isHealthy(), "in an outage for all controllers, no other one would serve better");
        receive(10, peerStatus(1, true));
        assertFalse(controller.isHealthy());
    }

    /**
     * Guards against users being sent to a controller that cannot answer them: its watch has stopped, while the store
     * answers its other requests.
     */
    @Test
    void controllerWhoseReplicaDoesNotAdvanceIsUnhealthy() {
        for (int second = 0; second < 5; second++) {
            receive(1000, new Input.LeaseRenewalCompleted(7, Input.RenewalStatus.RENEWED));
            receive(10, peerStatus(1, true));
        }
        assertFalse(controller.isHealthy());
        tick(0);
        assertFalse(
                take(Effect.BroadcastStatus.class).get(0).pages().get(0).storeReachable(),
                "peers must not leave their users to this controller");
        receiveChanges(10, List.of());
        receiveChanges(10, List.of());
        assertTrue(controller.isHealthy());
    }

    @Test
    void controllerWithOldReplicaLetsItsWorkersLeasesExpire() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, 0));
        assertEquals(1, take(Effect.AnswerHeartbeat.class).size());
        receive(28_000, peerStatus(1, false));
        receiveHeartbeat(0, 2, heartbeat(1, 2, 0));
        assertEquals(1, take(Effect.AnswerHeartbeat.class).size(), "a renewed lease still expires within cancel_s");
        receiveHeartbeat(1000, 3, heartbeat(1, 3, 0));
        assertEquals(1, take(Effect.RejectHeartbeat.class).size(), "a cancellation may have been missed");
    }

    /**
     * Guards against a reported fault: a controller that reaches neither the store nor its peers renews its workers'
     * leases, although its own lease has expired and others have taken over its machines.
     */
    @Test
    void isolatedControllerRejectsHeartbeatsUnlessStoreIsDownForAll() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, 0));
        assertEquals(1, take(Effect.AnswerHeartbeat.class).size());
        receiveHeartbeat(6000, 2, heartbeat(1, 2, 0));
        assertEquals(1, take(Effect.RejectHeartbeat.class).size());
        receive(10, peerStatus(1, false));
        receiveHeartbeat(10, 3, heartbeat(1, 3, 0));
        assertEquals(1, take(Effect.AnswerHeartbeat.class).size(), "its peers do not reach the store either");
    }

    @Test
    void warnsOfSettingsThatLeaveNoTimeForCancellation() {
        for (double cancelS : new double[] {31, 44}) {
            Controller tight = new Controller(
                    TestSettings.of(List.of(), Map.of(), cancelS, TestSettings.STORE_LIMITS), 1, value -> 0);
            boolean warned = tight.handle(0, 0, new Input.Tick()).stream()
                    .anyMatch(e -> e instanceof Effect.Log l && l.text().contains("too short beside lease_s"));
            assertEquals(cancelS == 31, warned);
        }
    }
}
