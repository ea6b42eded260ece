package dewlane.io;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.DefaultByteBufferPool;

/**
 * A pool of direct buffers that ends the process if the virtual machine's limit of direct memory is reached. Undertow
 * takes buffers from the pool in code of its own, which would swallow the error.
 */
final class ExitingBufferPool implements ByteBufferPool {
    private final ByteBufferPool pool;

    /** Creates a pool of buffers of the given size that keeps up to the given number for reuse. */
    ExitingBufferPool(int bufferBytes, int maxPooledBuffers) {
        this(new DefaultByteBufferPool(true, bufferBytes, maxPooledBuffers, 0));
    }

    private ExitingBufferPool(ByteBufferPool pool) {
        this.pool = pool;
    }

    @Override
    public PooledByteBuffer allocate() {
        try {
            return pool.allocate();
        } catch (OutOfMemoryError e) {
            FatalErrors.exit(e);
            throw e;
        }
    }

    @Override
    public ByteBufferPool getArrayBackedPool() {
        ByteBufferPool arrayBacked = pool.getArrayBackedPool();
        return arrayBacked == pool ? this : new ExitingBufferPool(arrayBacked);
    }

    @Override
    public void close() {
        pool.close();
    }

    @Override
    public int getBufferSize() {
        return pool.getBufferSize();
    }

    @Override
    public boolean isDirect() {
        return pool.isDirect();
    }
}
