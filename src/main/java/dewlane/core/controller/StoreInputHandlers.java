package dewlane.core.controller;

import dewlane.core.membership.Membership;
import dewlane.core.message.HandlerTable;
import dewlane.core.message.Input;
import dewlane.core.schema.Transaction;
import dewlane.core.store.JobResultReader;
import dewlane.core.store.ReadBarrier;
import dewlane.core.store.StoreConnectivity;
import dewlane.core.store.TransactionQueue;

/**
 * What became of single requests to the store. Whatever shows that the store carried one out proves that it can be
 * reached; a refusal proves nothing.
 */
final class StoreInputHandlers {
    private final StoreConnectivity connectivity;
    private final TransactionQueue transactions;
    private final JobResultReader resultReader;
    private final ReadBarrier barrier;
    private final Membership membership;
    private final SchedulingTrigger scheduling;

    StoreInputHandlers(
            StoreConnectivity connectivity,
            TransactionQueue transactions,
            JobResultReader resultReader,
            ReadBarrier barrier,
            Membership membership,
            SchedulingTrigger scheduling) {
        this.connectivity = connectivity;
        this.transactions = transactions;
        this.resultReader = resultReader;
        this.barrier = barrier;
        this.membership = membership;
        this.scheduling = scheduling;
    }

    void register(HandlerTable<Input> handlers) {
        handlers.on(Input.TransactionCompleted.class, this::onTransactionCompleted);
        handlers.on(Input.ValueRead.class, this::onValueRead);
        handlers.on(Input.ValueReadFailed.class, this::onValueReadFailed);
        handlers.on(Input.RevisionRead.class, this::onRevisionRead);
        handlers.on(Input.RevisionReadFailed.class, failed -> barrier.onRevisionReadFailed());
        handlers.on(Input.LeaseGranted.class, this::onLeaseGranted);
        handlers.on(Input.LeaseGrantFailed.class, failed -> membership.onLeaseGrantFailed());
        handlers.on(Input.LeaseRenewalCompleted.class, this::onLeaseRenewalCompleted);
    }

    private void onTransactionCompleted(Input.TransactionCompleted in) {
        if (in.status() == Transaction.Status.COMMITTED || in.status() == Transaction.Status.CONFLICT) {
            connectivity.onContact();
        }
        transactions.onCompleted(in);
        scheduling.request();
    }

    private void onValueRead(Input.ValueRead in) {
        connectivity.onContact();
        resultReader.onValueRead(in);
        scheduling.request();
    }

    private void onValueReadFailed(Input.ValueReadFailed in) {
        resultReader.onValueReadFailed(in);
        scheduling.request();
    }

    private void onRevisionRead(Input.RevisionRead in) {
        connectivity.onContact();
        barrier.onRevisionRead(in);
    }

    private void onLeaseGranted(Input.LeaseGranted in) {
        connectivity.onContact();
        membership.onLeaseGranted(in);
    }

    private void onLeaseRenewalCompleted(Input.LeaseRenewalCompleted in) {
        if (in.status() != Input.RenewalStatus.UNKNOWN) {
            connectivity.onContact();
        }
        membership.onLeaseRenewal(in);
    }
}
