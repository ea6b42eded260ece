package dewlane.io;

import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Methods;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.XnioIoThread;

/**
 * Connections for commands, one for each worker, up to a limit: a controller that owns all machines because the others
 * failed must not use up the sockets that heartbeats, users and the store need. At the limit, the least recently used
 * idle connection is closed.
 */
final class WorkerConnectionPools {
    private static final long COMMAND_TIMEOUT_MS = 2500;
    private static final long IDLE_TIMEOUT_MS = 60_000;

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final int maxPools;
    /** By address, in order of access: the least recently used first. */
    private final Map<String, HttpConnectionPool> pools = new LinkedHashMap<>(64, 0.75f, true);

    WorkerConnectionPools(XnioIoThread thread, ByteBufferPool buffers, int maxPools) {
        this.thread = thread;
        this.buffers = buffers;
        this.maxPools = maxPools;
    }

    /** Sends a command; returns false and sends nothing if it needs a connection beyond the limit and none is idle. */
    boolean send(String address, String path, byte[] body, HttpConnectionPool.Callback callback) {
        HttpConnectionPool pool = pools.get(address);
        if (pool == null) {
            if (pools.size() >= maxPools && !closeLeastRecentlyUsed()) {
                return false;
            }
            pool = new HttpConnectionPool(thread, buffers, address, 1);
            pools.put(address, pool);
        }
        // The pool is kept after a call without an answer: a new one would open another connection to an unresponsive
        // machine.
        pool.send(Methods.POST, path, body, COMMAND_TIMEOUT_MS, callback);
        return true;
    }

    /** Closes the least recently used idle connection; returns false if none is idle. */
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

    /** Closes connections that have long been idle: the machine may be terminated or owned by another controller. */
    void closeIdle() {
        pools.values().removeIf(pool -> {
            boolean idle = !pool.isBusy() && pool.idleMs() > IDLE_TIMEOUT_MS;
            if (idle) {
                pool.close();
            }
            return idle;
        });
    }

    /** Returns the number of workers with a connection. */
    int size() {
        return pools.size();
    }
}
