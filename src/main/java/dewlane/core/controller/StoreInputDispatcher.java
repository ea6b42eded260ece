package dewlane.core.controller;

import dewlane.core.membership.Membership;
import dewlane.core.message.Input;
import dewlane.core.schema.Transaction;
import dewlane.core.store.JobResultReader;
import dewlane.core.store.ReadBarrier;
import dewlane.core.store.StoreConnectivity;
import dewlane.core.store.StoreWatcher;
import dewlane.core.store.TransactionQueue;

/**
 * Passes on what the store answered, or that it did not. Whatever shows that the store did answer proves that it can be
 * reached; a refusal proves nothing.
 */
final class StoreInputDispatcher {
    /** What became of an input. */
    enum Outcome {
        /** It does not come from the store. */
        NOT_FROM_STORE,
        /** It was passed on, and jobs need not be looked at again for it. */
        HANDLED,
        /** It was passed on, and may be news about jobs. */
        NEWS
    }

    private final StoreConnectivity connectivity;
    private final StoreWatcher watcher;
    private final TransactionQueue transactions;
    private final JobResultReader resultReader;
    private final ReadBarrier barrier;
    private final Membership membership;

    StoreInputDispatcher(
            StoreConnectivity connectivity,
            StoreWatcher watcher,
            TransactionQueue transactions,
            JobResultReader resultReader,
            ReadBarrier barrier,
            Membership membership) {
        this.connectivity = connectivity;
        this.watcher = watcher;
        this.transactions = transactions;
        this.resultReader = resultReader;
        this.barrier = barrier;
        this.membership = membership;
    }

    /** Passes the input on to the subsystem that waits for it, if it comes from the store. */
    Outcome dispatch(Input input) {
        if (isAnswer(input)) {
            connectivity.onContact();
        }
        if (input instanceof Input.WatchEvents in) {
            return watcher.onEvents(in) ? Outcome.NEWS : Outcome.HANDLED;
        } else if (input instanceof Input.TransactionCompleted in) {
            transactions.onCompleted(in);
            return Outcome.NEWS;
        } else if (input instanceof Input.ValueRead in) {
            resultReader.onValueRead(in);
            return Outcome.NEWS;
        } else if (input instanceof Input.ValueReadFailed in) {
            resultReader.onValueReadFailed(in);
            return Outcome.NEWS;
        } else if (input instanceof Input.RevisionRead in) {
            barrier.onRevisionRead(in);
        } else if (input instanceof Input.RevisionReadFailed) {
            barrier.onRevisionReadFailed();
        } else if (input instanceof Input.LeaseGranted in) {
            membership.onLeaseGranted(in);
        } else if (input instanceof Input.LeaseGrantFailed) {
            membership.onLeaseGrantFailed();
        } else if (input instanceof Input.LeaseRenewalCompleted in) {
            membership.onLeaseRenewal(in);
        } else if (input instanceof Input.StoreListed in) {
            watcher.onListed(in);
        } else if (input instanceof Input.StoreListFailed) {
            watcher.onListFailed();
        } else if (input instanceof Input.WatchFailed in) {
            watcher.onWatchFailed(in);
        } else {
            return Outcome.NOT_FROM_STORE;
        }
        return Outcome.HANDLED;
    }

    /** True for requests that the store carried out; the watcher notes for itself what it was answered. */
    private static boolean isAnswer(Input input) {
        if (input instanceof Input.TransactionCompleted in) {
            return in.status() == Transaction.Status.COMMITTED || in.status() == Transaction.Status.CONFLICT;
        } else if (input instanceof Input.LeaseRenewalCompleted in) {
            return in.status() != Input.RenewalStatus.UNKNOWN;
        }
        return input instanceof Input.ValueRead
                || input instanceof Input.RevisionRead
                || input instanceof Input.LeaseGranted;
    }
}
