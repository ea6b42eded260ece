package dewlane.sim;

import dewlane.core.message.Input;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.Transaction;

/** Passes transactions to the simulated store: in time, late, without a reply, or, once committed, repeatedly. */
final class SimStoreWrites {
    private static final int MIN_DELAY_MS = 2000;
    private static final int MAX_DELAY_MS = 12_000;

    private final SimCluster cluster;
    private final SimStore store;
    /** The share of transactions that get no reply and are executed seconds later, after newer ones. */
    double delayRate;
    /** The share of transactions that are executed at once, but whose reply is lost. */
    double lostReplyRate;

    /** Committed transactions whose reply was lost. */
    int lostReplies;
    /** Transactions executed late, and how many of them were committed. */
    int delayed;

    int delayedCommitted;
    /** Copies of committed transactions that arrived again. */
    int repeated;

    SimStoreWrites(SimCluster cluster, SimStore store) {
        this.cluster = cluster;
        this.store = store;
    }

    void commit(SimController controller, long id, Transaction transaction) {
        if (delayRate > 0 && cluster.chance(delayRate) && controller.storeReachable()) {
            commitDelayed(id, transaction);
            receiveUnknownResult(controller, id);
        } else if (lostReplyRate > 0 && cluster.chance(lostReplyRate) && controller.storeReachable()) {
            commitWithoutReply(controller, id, transaction);
            receiveUnknownResult(controller, id);
        } else {
            controller.requestStore(
                    () -> withRepeats(transaction, store.applyIfAccepted(controller, id, transaction)),
                    new Input.TransactionCompleted(id, Transaction.Status.UNKNOWN, 0),
                    SimStore.REQUEST_TIMEOUT_MS);
        }
    }

    private void commitDelayed(long id, Transaction transaction) {
        cluster.after(cluster.randomBetween(MIN_DELAY_MS, MAX_DELAY_MS), () -> {
            if (!store.unavailable) {
                delayed++;
                delayedCommitted += isCommitted(withRepeats(transaction, store.apply(id, transaction))) ? 1 : 0;
            }
        });
    }

    private void commitWithoutReply(SimController controller, long id, Transaction transaction) {
        cluster.deliver(() -> {
            if (store.accepts(controller)) {
                lostReplies += isCommitted(withRepeats(transaction, store.apply(id, transaction))) ? 1 : 0;
            }
        });
    }

    private void receiveUnknownResult(SimController controller, long id) {
        int senderIncarnation = controller.incarnation;
        cluster.after(
                SimStore.REQUEST_TIMEOUT_MS,
                () -> controller.receive(
                        senderIncarnation, new Input.TransactionCompleted(id, Transaction.Status.UNKNOWN, 0)));
    }

    /** Returns the result of a transaction; if it was committed, copies of it may arrive again. */
    private Input.TransactionCompleted withRepeats(Transaction transaction, Input.TransactionCompleted result) {
        if (isCommitted(result)) {
            cluster.repeats.onCarriedOut(() -> repeat(result.id(), transaction));
        }
        return result;
    }

    private void repeat(long id, Transaction transaction) {
        if (!store.unavailable) {
            repeated++;
            if (isCommitted(store.apply(id, transaction))) {
                checkMayBeCommittedTwice(transaction);
            }
        }
    }

    /**
     * A transaction changes a key that it has a condition on, so a copy fails. The exception is the creation of a
     * decommission record that was deleted since: it names machines that no longer exist, whose names are never reused.
     */
    private void checkMayBeCommittedTwice(Transaction transaction) {
        for (Transaction.Write write : transaction.writes()) {
            if (!write.key().startsWith(StoreKeys.DECOMMISSIONS)
                    && cluster.disabledCheck == SimCluster.DisabledCheck.NONE) {
                cluster.checker.fail("committed_twice", write.key() + " by a copy of a transaction");
            }
        }
    }

    private static boolean isCommitted(Input.TransactionCompleted result) {
        return result.status() == Transaction.Status.COMMITTED;
    }
}
