package dewlane.core.scheduling;

import dewlane.core.fleet.Machine;

/**
 * A machine with capacity for a task of a job.
 *
 * @param costS what it costs to use the machine, as seconds of fetching an image
 */
record MachineCandidate(Machine machine, double costS) {}
