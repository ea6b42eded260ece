package dewlane.sim;

import dewlane.core.Report.End;
import dewlane.core.Report.Phase;

/** An attempt on the machine. */
final class SimAttempt {
    final String job;
    final int number;
    final int attempt;
    /** When the command or answer that launched it was sent. */
    final long orderedAt;

    Phase phase = Phase.FETCHING;
    End end;
    long until;

    SimAttempt(String job, int number, int attempt, long orderedAt) {
        this.orderedAt = orderedAt;
        this.job = job;
        this.number = number;
        this.attempt = attempt;
    }

    /** True while the task counts as being on its machine. */
    boolean on() {
        return phase == Phase.RUNNING || phase == Phase.SAVING;
    }
}
