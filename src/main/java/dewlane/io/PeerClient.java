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

/** Tells the other controllers this one's status, over one connection each. */
final class PeerClient {
    private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);
    private static final long PEER_MS = 1500;

    private final List<HttpConnectionPool> pools = new ArrayList<>();

    PeerClient(XnioIoThread thread, ByteBufferPool buffers, Collection<String> addresses) {
        addresses.forEach(address -> pools.add(new HttpConnectionPool(thread, buffers, address, 1)));
    }

    void tell(Effect.BroadcastStatus tell) {
        List<byte[]> pages = new ArrayList<>();
        try {
            for (PeerStatus page : tell.pages()) {
                pages.add(PeerProtocol.status(page));
            }
        } catch (IOException e) {
            LOG.error("cannot write a status: {}", e.getMessage());
            return;
        }
        for (HttpConnectionPool pool : pools) {
            // One that does not answer is told again once its time has run out, of what is true by then.
            if (!pool.busy()) {
                pages.forEach(
                        page -> pool.send(Methods.POST, PeerProtocol.STATUS, page, PEER_MS, (status, answer) -> {}));
            }
        }
    }
}
