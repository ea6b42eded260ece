/**
 * Limits and guarantees of teams.
 *
 * <p>Ensures that a team's tasks, including those that may be running, never use more than its limit. May depend on
 * {@code fleet} and the packages below it.
 */
package dewlane.core.quota;
