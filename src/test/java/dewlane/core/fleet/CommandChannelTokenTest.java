package dewlane.core.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.model.AttemptId;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that the tokens of one epoch are never those of another, however often the fence is raised. */
class CommandChannelTokenTest {
    private static final long EPOCH = 5;
    private static final int TOKENS_PER_EPOCH = 1 << 20;
    private static final AttemptId ATTEMPT = new AttemptId("wk-1", 0, 1);

    @Test
    void fenceIsNotRaisedIntoTokensOfNextEpoch() {
        CommandChannel channel = new CommandChannel();
        channel.acquire(EPOCH);
        for (int raises = 1; raises < TOKENS_PER_EPOCH; raises++) {
            channel.raiseFence();
        }
        long last = channel.fencingToken();
        assertEquals(((EPOCH + 1) << 20) - 1, last);
        channel.onCommandSent(Set.of(ATTEMPT), 0);

        channel.raiseFence();

        assertEquals(last, channel.fencingToken());
        assertFalse(channel.mayForget(ATTEMPT), "the worker would accept copies of its launch");
        channel.acquire(EPOCH + 1);
        assertTrue(channel.fencingToken() > last);
    }

    @Test
    void lastTokensOfEpochAreNotSpentOnForgets() {
        CommandChannel channel = new CommandChannel();
        channel.acquire(EPOCH);
        int raises = 0;
        while (channel.mayRaiseForForgets()) {
            channel.raiseFence();
            raises++;
        }
        assertTrue(raises > TOKENS_PER_EPOCH / 2, raises + " raises for forgets");
        assertTrue(raises < TOKENS_PER_EPOCH - 1000, raises + " raises for forgets");
    }
}
