package dewlane.io;

import dewlane.core.message.Effect;
import dewlane.core.model.PeerStatus;
import dewlane.wire.PeerProtocol;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Methods;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** Sends this controller's status to the other controllers, over one connection each. */
final class PeerClient {
    private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);
    private static final long TIMEOUT_MS = 1500;

    private final List<HttpConnectionPool> pools = new ArrayList<>();

    PeerClient(XnioIoThread thread, ByteBufferPool buffers, Collection<String> addresses) {
        addresses.forEach(address -> pools.add(new HttpConnectionPool(thread, buffers, address, 1)));
    }

    /** Sends the status to each peer with no status in flight. */
    void broadcast(Effect.BroadcastStatus broadcast) {
        List<byte[]> pages = new ArrayList<>();
        try {
            for (PeerStatus page : broadcast.pages()) {
                pages.add(PeerProtocol.encodeStatus(page));
            }
        } catch (IOException e) {
            LOG.error("cannot encode the status for the peers: {}", e.getMessage());
            return;
        }
        for (HttpConnectionPool pool : pools) {
            // An unresponsive peer is skipped until its call has timed out; it receives the next broadcast after that.
            if (!pool.isBusy()) {
                pages.forEach(page ->
                        pool.send(Methods.POST, PeerProtocol.STATUS_PATH, page, TIMEOUT_MS, (status, answer) -> {}));
            }
        }
    }
}
