package dewlane.core.quota;

/** An amount of CPUs and GPUs of a team's limit. */
record QuotaAmount(double cpus, double gpus) {}
