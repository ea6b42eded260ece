package dewlane.io;

import java.util.List;
import java.util.Map;

/**
 * The addresses on which a controller listens and to which it connects, as host:port, and its socket limit.
 *
 * @param maxSockets the number of sockets that the process may have open
 */
public record NetworkSettings(
        String listen, String peerListen, Map<String, String> peers, String cloud, String store, int maxSockets) {
    /** The share of the sockets for connections from workers, users and health checks. */
    private static final double INBOUND_SHARE = 0.8;
    /** The share of the sockets for commands to workers. The rest is for the store, the cloud and the peers. */
    private static final double COMMAND_SHARE = 0.15;
    /** The share of inbound connections that workers may keep open. The rest is for users and health checks. */
    private static final double HEARTBEAT_SHARE = 0.75;
    /** Connections to the store and the cloud, with room for those that are being closed. */
    private static final int FIXED_CONNECTIONS = 32;

    /** Returns the smallest number of sockets with which a controller can work. */
    public static int minSockets(int peers) {
        return 4 * (FIXED_CONNECTIONS + 2 * peers);
    }

    /** Returns the limit of inbound connections; further ones wait to be accepted. */
    int maxInboundConnections() {
        return Math.min(
                (int) (maxSockets * INBOUND_SHARE),
                maxSockets - maxCommandConnections() - FIXED_CONNECTIONS - 2 * peers.size());
    }

    /** Returns the number of workers up to which all may keep their connections open; with more workers, none may. */
    int maxPersistentHeartbeatConnections() {
        return (int) (maxInboundConnections() * HEARTBEAT_SHARE);
    }

    /** Returns the limit of connections to workers. */
    int maxCommandConnections() {
        return (int) (maxSockets * COMMAND_SHARE);
    }

    /** Returns the names of the peers. */
    public List<String> peerNames() {
        return List.copyOf(peers.keySet());
    }
}
