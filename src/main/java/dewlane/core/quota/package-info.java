/**
 * Teams' limits and guarantees.
 *
 * <p>Guards the rule that a team's tasks, all that may be running included, never use more than its limit. May depend
 * on {@code fleet} and below.
 */
package dewlane.core.quota;
