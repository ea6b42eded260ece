package dewlane.core.model;

/**
 * The container image that a machine must hold before a task can start.
 *
 * @param name identifies the image; tasks with the same name share it on a machine
 * @param sizeGb size in GB, which has to be fetched once a machine
 */
public record ContainerImage(String name, double sizeGb) {}
