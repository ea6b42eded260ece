package dewlane.core.model;

/**
 * One launch of a task that may be on its machine until its end or a proof of gone is durable.
 *
 * @param task number of the task within the job
 * @param number grows with every launch of the slice, so it is never used twice for a task
 * @param incarnation the worker's session at launch
 * @param fencingToken the only token under which this launch is ever commanded
 */
public record Attempt(int task, int number, String machine, long incarnation, long fencingToken, long launchedAtMs) {}
