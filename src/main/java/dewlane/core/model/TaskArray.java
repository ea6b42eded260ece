package dewlane.core.model;

/**
 * The equal tasks of a job.
 *
 * @param count number of tasks, at least 1; they are numbered from 0
 * @param resources what one task takes of its machine
 * @param image the container image that every task runs
 * @param placement the machines that the tasks may run on
 */
public record TaskArray(int count, Resources resources, ContainerImage image, PlacementConstraints placement) {}
