package dewlane.core.quota;

/** A part of a team's limit, in CPUs and GPUs. */
record QuotaAmount(double cpus, double gpus) {}
