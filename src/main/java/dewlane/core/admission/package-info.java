/**
 * Handling of users' requests: submissions, status queries and cancellations.
 *
 * <p>Enforces that a change of a job is durable before a user is told of it, and that no user receives a state older
 * than one that was returned before. May depend on {@code scheduling} and the packages below it.
 */
package dewlane.core.admission;
