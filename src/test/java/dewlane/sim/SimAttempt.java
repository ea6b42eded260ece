package dewlane.sim;

import dewlane.core.model.Heartbeat.ExitReason;
import dewlane.core.model.Heartbeat.Phase;

/** An attempt to run a task, on the worker that launched it. */
final class SimAttempt {
    final String job;
    final int task;
    final int number;
    /** When the command or reply that launched it was sent. */
    final long launchSentAt;

    Phase phase = Phase.FETCHING;
    /** Why the attempt ended, or null if it has not ended. */
    ExitReason end;
    /** When the current phase ends unless the attempt is stopped before. */
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

    /** True while the task runs or saves its work on the machine. */
    boolean occupiesMachine() {
        return phase == Phase.RUNNING || phase == Phase.SAVING;
    }

    @Override
    public String toString() {
        return job + "/" + task + " #" + number;
    }
}
