package dewlane.core.store;

import dewlane.core.config.Settings;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.message.TokenBucket;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.JobResult;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;

/** Reads job results that the replica does not contain, within a fraction of the store's request rate. */
public final class JobResultReader {
    /** The fraction of the store's request rate that these reads of all controllers together may use. */
    private static final double REQUEST_FRACTION = 0.2;

    private static final double MIN_BURST = 5;

    /** Receives the outcome of a read; exactly one method is called. */
    public interface Listener {
        /** Called if the job has ended. */
        void onFound(JobResult result);

        /** Called if the job has no result: it has not ended, or was never accepted. */
        void onAbsent();

        /** Called if the store did not answer, or the stored result cannot be read. */
        void onUnavailable();
    }

    private record PendingRead(String job, Listener listener) {}

    private final ControllerContext context;
    private final StoreReplica replica;
    private final TokenBucket rate;
    private final Long2ObjectOpenHashMap<PendingRead> inFlight = new Long2ObjectOpenHashMap<>();
    private long nextId = 1;

    /** Creates a reader that adds the results that it reads to the replica's cache. */
    public JobResultReader(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
        Settings settings = context.settings();
        double readsPerS = settings.storeRequestsPerS() * REQUEST_FRACTION / settings.controllerCount();
        this.rate = new TokenBucket(readsPerS, Math.max(MIN_BURST, readsPerS));
    }

    /**
     * Reads a job's result.
     *
     * @return false if the rate limit allows no read now; the listener is then never called
     */
    public boolean read(String job, Listener listener) {
        if (!rate.tryAcquire(context.nowMs())) {
            return false;
        }
        long id = nextId++;
        inFlight.put(id, new PendingRead(job, listener));
        context.emit(new Effect.ReadValue(id, StoreKeys.jobResult(job)));
        return true;
    }

    /** Called when the store has answered a read. */
    public void onValueRead(Input.ValueRead in) {
        PendingRead read = inFlight.remove(in.id());
        if (read == null) {
            return;
        }
        StoredValue value = in.value().orElse(null);
        if (value == null) {
            read.listener().onAbsent();
        } else if (value instanceof JobResult result) {
            replica.cacheResult(read.job(), result);
            read.listener().onFound(result);
        } else {
            read.listener().onUnavailable();
        }
    }

    /** Called when a read has failed. */
    public void onValueReadFailed(Input.ValueReadFailed in) {
        PendingRead read = inFlight.remove(in.id());
        if (read != null) {
            read.listener().onUnavailable();
        }
    }
}
