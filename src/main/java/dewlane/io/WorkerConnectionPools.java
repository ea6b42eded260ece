package dewlane.io;

import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Methods;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.XnioIoThread;

/**
 * Connections for commands, one a worker, and never more than a bound: a controller that is left alone with all
 * machines must not use up the sockets that heartbeats, users and the store need. The connection that was idle for
 * longest makes room.
 */
final class WorkerConnectionPools {
    private static final long COMMAND_TIMEOUT_MS = 2500;
    private static final long IDLE_TIMEOUT_MS = 60_000;

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final int maxPools;
    /** The least recently used first. */
    private final Map<String, HttpConnectionPool> pools = new LinkedHashMap<>(64, 0.75f, true);

    WorkerConnectionPools(XnioIoThread thread, ByteBufferPool buffers, int maxPools) {
        this.thread = thread;
        this.buffers = buffers;
        this.maxPools = maxPools;
    }

    /** Sends a command; false if no connection may be opened for it now, so that nothing is sent. */
    boolean send(String address, String path, byte[] body, HttpConnectionPool.Callback callback) {
        HttpConnectionPool pool = pools.get(address);
        if (pool == null) {
            if (pools.size() >= maxPools && !closeLeastRecentlyUsed()) {
                return false;
            }
            pool = new HttpConnectionPool(thread, buffers, address, 1);
            pools.put(address, pool);
        }
        // A pool stays after a call without an answer: a new one would open one more connection to a machine that
        // hangs.
        pool.send(Methods.POST, path, body, COMMAND_TIMEOUT_MS, callback);
        return true;
    }

    /** Closes the idle connection that was used least recently; false if none is idle. */
    private boolean closeLeastRecentlyUsed() {
        for (Iterator<HttpConnectionPool> i = pools.values().iterator(); i.hasNext(); ) {
            HttpConnectionPool pool = i.next();
            if (!pool.isBusy()) {
                i.remove();
                pool.close();
                return true;
            }
        }
        return false;
    }

    /** Closes what was not used for long: its machine may be gone or another controller's. */
    void closeIdle() {
        pools.values().removeIf(pool -> {
            boolean idle = !pool.isBusy() && pool.idleMs() > IDLE_TIMEOUT_MS;
            if (idle) {
                pool.close();
            }
            return idle;
        });
    }

    /** Workers with a connection. */
    int size() {
        return pools.size();
    }
}
