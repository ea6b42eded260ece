package dewlane.core.schema;

/** Priorities of a controller's transactions, in the order in which they are sent. */
public enum TransactionPriority {
    /** Changes the partition map: a member joins or is evicted, machines are reassigned, quota is transferred. */
    MEMBERSHIP,
    /** Records a cancellation, whose user waits for the confirmation. */
    SAFETY,
    /** Records the acceptance of a submission, whose user waits for the answer. */
    USER,
    /** Records outcomes of attempts or the decommissioning of machines. */
    OUTCOME,
    /** Records launches. */
    LAUNCH,
    /** Scales in or deletes obsolete keys, which can wait. */
    LATER
}
