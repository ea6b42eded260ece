package dewlane.core.admission;

import dewlane.core.config.Settings;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;

/** Checks against the settings and the cloud's machine types whether a job can ever run. */
public final class JobValidator {
    /** Allows for rounding errors of amounts that are given as decimal numbers. */
    private static final double TOLERANCE = 1e-9;

    /** The result of a validation. */
    sealed interface Validation {}

    /** The job can run on at least one machine type. */
    record Valid() implements Validation {}

    /** Not decided: the cloud's machine types were not read yet, and nothing else rules out the job. */
    record Undecided() implements Validation {}

    /** The job cannot run; the reason is an answer to the user. */
    record Invalid(String reason) implements Validation {}

    private final Settings settings;
    private final MachineRegistry machines;

    /** Creates a validator that checks against the teams of the settings and the machine types of the registry. */
    public JobValidator(Settings settings, MachineRegistry machines) {
        this.settings = settings;
        this.machines = machines;
    }

    /** Validates a job against the present machine types. The result can change when the cloud offers other types. */
    Validation validate(Job job) {
        Settings.TeamQuota team = settings.teams().get(job.team());
        if (team == null) {
            return new Invalid("unknown team " + job.team());
        }
        if (exceeds(team.maxCpus(), job.cpus()) || exceeds(team.maxGpus(), job.gpus())) {
            return new Invalid("a task needs more than the limit of " + job.team());
        }
        if (machines.types().isEmpty()) {
            return new Undecided();
        }
        return fitsSomeType(job) ? new Valid() : new Invalid("a task fits no allowed machine type");
    }

    /** Returns true if a single task exceeds the limit. A limit of 0 means that there is none. */
    private static boolean exceeds(double limit, double perTask) {
        return limit > 0 && perTask > limit + TOLERANCE;
    }

    private boolean fitsSomeType(Job job) {
        for (MachineType type : machines.types()) {
            boolean zoneAllowed = job.zone() == null || type.zones().contains(job.zone());
            if (zoneAllowed && job.allowsType(type.name()) && type.capacityFor(job) > 0) {
                return true;
            }
        }
        return false;
    }
}
