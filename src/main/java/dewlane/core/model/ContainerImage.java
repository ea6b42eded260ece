package dewlane.core.model;

/**
 * The container image that a machine must have fetched before a task can start.
 *
 * @param name identifies the image; tasks on a machine whose images have the same name share one copy
 * @param sizeGb size in GB; each machine fetches the image once
 */
public record ContainerImage(String name, double sizeGb) {}
