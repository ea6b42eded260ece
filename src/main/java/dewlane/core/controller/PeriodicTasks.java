package dewlane.core.controller;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.FailureIsolation;
import dewlane.core.message.HandlerTable;
import dewlane.core.message.Input;
import java.util.List;

/**
 * Runs periodic tasks in a fixed order: some on every tick, the others about once a second. If a task fails, the others
 * still run.
 */
final class PeriodicTasks {
    private static final long SLOW_INTERVAL_MS = 1000;

    private final ControllerContext context;
    private final List<Runnable> everyTick;
    private final List<Runnable> everySecond;
    private long slowTickAtMs = ControllerContext.NEVER_MS;

    PeriodicTasks(ControllerContext context, List<Runnable> everyTick, List<Runnable> everySecond) {
        this.context = context;
        this.everyTick = List.copyOf(everyTick);
        this.everySecond = List.copyOf(everySecond);
    }

    void register(HandlerTable<Input> handlers) {
        handlers.on(Input.Tick.class, tick -> run());
    }

    private void run() {
        FailureIsolation.runAll(List.of(() -> FailureIsolation.runAll(everyTick), this::runSlowTasksIfDue));
    }

    private void runSlowTasksIfDue() {
        if (context.nowMs() - slowTickAtMs >= SLOW_INTERVAL_MS) {
            slowTickAtMs = context.nowMs();
            FailureIsolation.runAll(everySecond);
        }
    }
}
