package dewlane.core.model;

/**
 * Whose job it is, and how important.
 *
 * @param team the team whose guarantee and limit apply
 * @param jobClass the class of jobs for which the settings name service-level objectives
 * @param priority the job's own priority
 */
public record JobOwnership(String team, String jobClass, Priority priority) {}
