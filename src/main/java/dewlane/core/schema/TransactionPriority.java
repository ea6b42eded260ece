package dewlane.core.schema;

/** The order in which transactions of one controller are sent, most urgent first. */
public enum TransactionPriority {
    /** Joins the partition map, evicts members, moves machines or quota. */
    MEMBERSHIP,
    /** Confirms a cancellation to its user. */
    SAFETY,
    /** Accepts a submission. */
    USER,
    /** Makes the outcome of attempts or the decommission of machines durable. */
    OUTCOME,
    /** Records launches. */
    LAUNCH,
    /** Scale-in and garbage collection, which can wait. */
    LATER
}
