package dewlane.sim;

import static dewlane.sim.SimFixtures.calm;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.world;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.Priority;
import org.junit.jupiter.api.Test;

/**
 * Direct commands are held up on their way while tasks fail at once: attempts end before their launch arrives twice.
 */
class DelayedCommandsTest {
    private static final int SEEDS = 20;

    /** As in the incident: a machine's tasks fail within half a second of a launch that came with a report's answer. */
    @Test
    void attemptsEndAndAreForgottenBeforeTheCommandThatLaunchesThemArrives() {
        int met = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimCluster world = world(seed, 9);
            world.cloud.lateCommands = 0.9;
            for (int i = 1; i <= 20; i++) {
                int number = i;
                world.after(i * 1000L, () -> world.users.submit(job(number, Priority.HIGH, 4, 1, 15)));
            }
            failInTurn(world);
            world.run(50_000);
            world.cloud.lateCommands = 0;
            world.cloud.machines.values().forEach(m -> m.sick = false);
            met += world.cloud.machines.values().stream()
                    .mapToInt(m -> m.forgottenBeforeHeldLaunch)
                    .sum();
            calm(world, 200_000);
        }
        assertTrue(met >= SEEDS, met + " attempts were forgotten while a command that launches them was held up");
    }

    private static void failInTurn(SimCluster world) {
        world.every(4000, () -> {
            if (world.cloud.lateCommands > 0) {
                world.cloud.machines.values().forEach(m -> m.sick = world.chance(0.4));
            }
        });
    }
}
