package dewlane.core.model;

/**
 * The identical tasks of a job.
 *
 * @param count number of tasks, at least 1; they are numbered from 0
 * @param resources the resources that one task uses on its machine
 * @param image the container image that every task runs
 * @param placement the machines that the tasks may run on
 */
public record TaskArray(int count, Resources resources, ContainerImage image, PlacementConstraints placement) {}
