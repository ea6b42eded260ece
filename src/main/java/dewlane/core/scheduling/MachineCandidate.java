package dewlane.core.scheduling;

import dewlane.core.fleet.Machine;

/**
 * A machine with capacity for a task of a job.
 *
 * @param costS cost of using the machine, expressed as seconds of fetching an image
 */
record MachineCandidate(Machine machine, double costS) {}
