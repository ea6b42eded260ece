package dewlane.core.model;

/**
 * The team that a job belongs to, its class and its priority.
 *
 * @param team the team whose guaranteed share and limit apply
 * @param jobClass the job's class; the settings define service-level objectives per class
 * @param priority the job's own priority
 */
public record JobOwnership(String team, String jobClass, Priority priority) {}
