package dewlane.io;

import java.util.List;
import java.util.Map;

/**
 * Where a controller listens and whom it talks to, all as host:port.
 *
 * @param maxSockets how many sockets the process may have open
 */
public record Endpoints(
        String listen, String peerListen, Map<String, String> peers, String cloud, String store, int maxSockets) {
    /** The share of the sockets that others may open to this controller: workers, users and health checks. */
    private static final double INBOUND_SHARE = 0.8;
    /** The share for commands to workers. What is left is for the store, the cloud and the peers. */
    private static final double COMMAND_SHARE = 0.15;
    /** The share of inbound connections that workers may keep open; users and health checks need the rest. */
    private static final double HEARTBEAT_SHARE = 0.75;
    /** Connections to the store and the cloud, with room for those that are just closing. */
    private static final int FIXED_CONNECTIONS = 32;

    /** The fewest sockets with which a controller can work. */
    public static int fewestSockets(int peers) {
        return 4 * (FIXED_CONNECTIONS + 2 * peers);
    }

    /** Connections that others may open to this controller; above it they wait to be accepted. */
    int inbound() {
        return Math.min(
                (int) (maxSockets * INBOUND_SHARE), maxSockets - commands() - FIXED_CONNECTIONS - 2 * peers.size());
    }

    /** Workers that may keep their connections open between heartbeats; with more, none does. */
    int keptHeartbeatConnections() {
        return (int) (inbound() * HEARTBEAT_SHARE);
    }

    /** Connections to workers that may be open at once. */
    int commands() {
        return (int) (maxSockets * COMMAND_SHARE);
    }

    /** The peers' names. */
    public List<String> peerNames() {
        return List.copyOf(peers.keySet());
    }
}
