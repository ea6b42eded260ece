/**
 * The requests of users: submissions, status queries and cancellations.
 *
 * <p>Guards the rule that what a user is told is durable first, and that no user is told a state older than one told
 * before. May depend on {@code scheduling} and below.
 */
package dewlane.core.admission;
