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

    /** Sends the status to each peer that has answered the one before. */
    void broadcast(Effect.BroadcastStatus broadcast) {
        List<byte[]> pages = new ArrayList<>();
        try {
            for (PeerStatus page : broadcast.pages()) {
                pages.add(PeerProtocol.status(page));
            }
        } catch (IOException e) {
            LOG.error("cannot write a status: {}", e.getMessage());
            return;
        }
        for (HttpConnectionPool pool : pools) {
            // A peer that does not answer gets the status of the time at which its call has timed out.
            if (!pool.isBusy()) {
                pages.forEach(page ->
                        pool.send(Methods.POST, PeerProtocol.STATUS_PATH, page, TIMEOUT_MS, (status, answer) -> {}));
            }
        }
    }
}
