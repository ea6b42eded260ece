package dewlane.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import dewlane.core.config.TestSettings;
import dewlane.core.controller.Controller;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what becomes of errors that an input or an effect causes. */
class ControllerLoopTest {
    private final List<Effect> performed = new ArrayList<>();
    private final List<Error> fatalErrors = new ArrayList<>();
    private Error injected;
    private final ControllerLoop loop = new ControllerLoop(
            new Controller(TestSettings.singleController(), 1, value -> 0), this::perform, fatalErrors::add);

    private void perform(Effect effect) {
        if (injected != null) {
            Error error = injected;
            injected = null;
            throw error;
        }
        performed.add(effect);
    }

    /** Guards against effects, such as the next watch, that are lost because another one overflows the stack. */
    @Test
    void stackOverflowDoesNotStopTheLoop() {
        injected = new StackOverflowError("injected");
        loop.accept(new Input.Tick());
        loop.accept(new Input.LeaseGrantFailed());
        assertFalse(performed.isEmpty(), "the remaining effects of the first input are performed");
        assertEquals(List.of(), fatalErrors);
    }

    /**
     * Guards against a process that goes on after an error that leaves nothing to rely on, such as a lack of memory.
     */
    @Test
    void errorOfVirtualMachineIsFatal() {
        injected = new InternalError("injected");
        loop.accept(new Input.Tick());
        assertEquals(1, fatalErrors.size());
    }
}
