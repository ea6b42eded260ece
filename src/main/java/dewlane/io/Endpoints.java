package dewlane.io;

import java.util.List;
import java.util.Map;

/** Where a controller listens and whom it talks to, all as host:port. */
public record Endpoints(String listen, String peerListen, Map<String, String> peers, String cloud, String state) {
    /** The peers' names. */
    public List<String> peerNames() {
        return List.copyOf(peers.keySet());
    }
}
