package dewlane.core.store;

import dewlane.core.config.Settings;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.message.TokenBucket;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.JobResult;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;

/** Reads final states that the replica does not know, within a part of the state service's request rate. */
public final class JobResultReader {
    /** The part of the requests that all controllers' reads together may take. */
    private static final double REQUEST_SHARE = 0.2;

    private static final double LEAST_BURST = 5;

    /** Told what a read found. */
    public interface Listener {
        /** The job is over. */
        void found(JobResult result);

        /** The job has no final state: it is not over, or was never accepted. */
        void absent();

        /** The state service did not say. */
        void unavailable();
    }

    private record Read(String job, Listener listener) {}

    private final ControllerContext context;
    private final StoreReplica replica;
    private final TokenBucket rate;
    private final Long2ObjectOpenHashMap<Read> reads = new Long2ObjectOpenHashMap<>();
    private long nextRead = 1;

    public JobResultReader(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
        Settings settings = context.settings();
        double controllers = settings.peers().size() + 1;
        double perS = settings.storeRequestsPerS() * REQUEST_SHARE / controllers;
        this.rate = new TokenBucket(perS, Math.max(LEAST_BURST, perS));
    }

    /** Asks for a job's final state; false if that is more than the rate allows now, and then nobody is told. */
    public boolean read(String job, Listener listener) {
        if (!rate.tryAcquire(context.nowMs())) {
            return false;
        }
        long id = nextRead++;
        reads.put(id, new Read(job, listener));
        context.emit(new Effect.ReadValue(id, StoreKeys.jobResult(job)));
        return true;
    }

    /** Takes an answer of the state service. */
    public void onValueRead(Input.ValueRead in) {
        Read read = reads.remove(in.id());
        if (read == null) {
            return;
        }
        if (in.known() && in.value() == null) {
            read.listener().absent();
        } else if (in.known() && in.value() instanceof JobResult result) {
            replica.recordResult(read.job(), result);
            read.listener().found(result);
        } else {
            read.listener().unavailable();
        }
    }
}
