package dewlane.sim;

import dewlane.core.config.StoreLimits;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.Transaction;
import dewlane.wire.StoreProtocol;
import dewlane.wire.StoredValueCodec;

/** The limits of the stand-in for the state service, which may change without notice. */
final class SimLimits {
    private static final int MOST_TXN_BYTES = 65_536;

    private final World world;
    private StoreLimits.Limits now;
    /** Transactions that were larger than the limits in force. */
    int exceeded;

    SimLimits(World world) {
        this.world = world;
        this.now = world.settings.store().present();
    }

    StoreLimits.Limits now() {
        return now;
    }

    /** From now on the limits are those that the settings name as the next ones. */
    void shrink() {
        now = world.settings.store().next();
    }

    /** True, and counted, if the transaction is larger than the limits in force. */
    boolean exceededBy(Transaction transaction) {
        boolean tooLarge = transaction.writes().size() > now.maxTransactionWrites()
                || transaction.preconditions().size() > 4 * now.maxTransactionWrites()
                || StoreProtocol.transactionRequest(transaction).length > MOST_TXN_BYTES
                || transaction.writes().stream().anyMatch(w -> bytes(w.value()) > now.maxValueBytes());
        exceeded += tooLarge ? 1 : 0;
        return tooLarge;
    }

    private static int bytes(StoredValue value) {
        return value == null ? 0 : StoredValueCodec.encode(value).length;
    }

    /**
     * A controller that knows the coming limits keeps within them from its start. Only what is stored already may stay
     * larger for a while, and only become smaller.
     */
    void check(SimNode node, Transaction transaction) {
        if (node.production) {
            return;
        }
        int ops = world.settings.maxTransactionWrites();
        if (transaction.writes().size() > ops || transaction.preconditions().size() > 4 * ops) {
            throw new AssertionError(node.name + " sends a transaction of "
                    + transaction.writes().size() + " changes and "
                    + transaction.preconditions().size() + " conditions");
        }
        for (Transaction.Write w : transaction.writes()) {
            int bytes = bytes(w.value());
            if (bytes > world.settings.maxValueBytes() && bytes > bytes(world.state.get(w.key()))) {
                throw new AssertionError(node.name + " sends a value of " + bytes + " bytes for " + w.key());
            }
        }
        if (StoreProtocol.transactionRequest(transaction).length > MOST_TXN_BYTES) {
            throw new AssertionError(node.name + " sends a transaction of more than 64 KiB");
        }
    }
}
