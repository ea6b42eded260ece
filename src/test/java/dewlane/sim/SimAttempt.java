package dewlane.sim;

import dewlane.core.model.Heartbeat.ExitReason;
import dewlane.core.model.Heartbeat.Phase;

/** An attempt to run a task, on the worker that was told to launch it. */
final class SimAttempt {
    final String job;
    final int task;
    final int number;
    /** When the command or reply that launched it was sent. */
    final long launchSentAt;

    Phase phase = Phase.FETCHING;
    /** How it ended, or null while it has not. */
    ExitReason end;
    /** When the present phase is over by itself. */
    long phaseEndsAt;

    SimAttempt(String job, int task, int number, long launchSentAt) {
        this.job = job;
        this.task = task;
        this.number = number;
        this.launchSentAt = launchSentAt;
    }

    void exit(ExitReason reason) {
        phase = Phase.EXITED;
        end = reason;
    }

    boolean hasExited() {
        return phase == Phase.EXITED;
    }

    /** True while the task counts as being on its machine. */
    boolean occupiesMachine() {
        return phase == Phase.RUNNING || phase == Phase.SAVING;
    }

    @Override
    public String toString() {
        return job + "/" + task + " #" + number;
    }
}
