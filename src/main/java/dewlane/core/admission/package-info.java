/**
 * The requests of users: submissions, status queries and cancellations.
 *
 * <p>Guards the rule that what a user is told is durable first. May depend on {@code scheduling} and below.
 */
package dewlane.core.admission;
