package dewlane.core.model;

/**
 * The resources that one task uses on its machine.
 *
 * @param cpus number of CPUs, which may be a fraction
 * @param gpus number of GPUs, which may be a fraction; 0 for none
 * @param memoryGb memory in GB
 */
public record Resources(double cpus, double gpus, double memoryGb) {}
