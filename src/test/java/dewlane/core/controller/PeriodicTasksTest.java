package dewlane.core.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dewlane.core.config.TestSettings;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.HandlerTable;
import dewlane.core.message.Input;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that periodic tasks do not depend on each other. */
class PeriodicTasksTest {
    /** Guards against leases that are not renewed because another periodic task fails at every tick. */
    @Test
    void taskThatAlwaysFailsDoesNotStopTheOthers() {
        ControllerContext context = new ControllerContext(TestSettings.singleController(), 1);
        HandlerTable<Input> handlers = new HandlerTable<>(Input.class);
        List<String> ran = new ArrayList<>();
        Runnable failing = () -> {
            throw new IllegalStateException("injected");
        };
        new PeriodicTasks(
                        context,
                        List.of(failing, () -> ran.add("lease")),
                        List.of(failing, () -> ran.add("failure detection")))
                .register(handlers);
        for (int second = 0; second < 3; second++) {
            context.beginInput(1000L * second, 0);
            assertThrows(IllegalStateException.class, () -> handlers.dispatch(new Input.Tick()));
        }
        assertEquals(
                List.of("lease", "failure detection", "lease", "failure detection", "lease", "failure detection"), ran);
    }
}
