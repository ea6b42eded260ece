package dewlane.core.scheduling;

import dewlane.core.fleet.Machine;

/** A machine with room for a task of a job, and what it costs to use it, in seconds of fetching an image. */
record Candidate(Machine machine, double cost) {}
