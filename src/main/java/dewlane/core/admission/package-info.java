/**
 * The requests of users: submissions, status queries and cancellations.
 *
 * <p>Guards the rule that every answer about a job is durable first, and that no user sees a state older than one shown
 * before. May depend on {@code scheduling} and below.
 */
package dewlane.core.admission;
