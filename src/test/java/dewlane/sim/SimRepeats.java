package dewlane.sim;

import java.util.SplittableRandom;

/**
 * Repeats requests that were carried out: copies of them arrive once more, from at once to minutes later, whether they
 * were answered or not. It draws from its own random numbers, so that repeats change no other fault of a seed.
 */
final class SimRepeats {
    private static final double MAX_DELAY_MS = 180_000;

    private final SimCluster cluster;
    private final SplittableRandom random;
    /** The share of requests that are repeated. */
    double rate;
    /** How many copies of such a request arrive. */
    int copies = 1;
    /** Copies that have arrived so far. */
    int delivered;

    SimRepeats(SimCluster cluster) {
        this.cluster = cluster;
        this.random = new SplittableRandom(~cluster.seed);
    }

    /** Called when a request was carried out; the action carries it out once more. */
    void onCarriedOut(Runnable repeat) {
        if (rate == 0 || random.nextDouble() >= rate) {
            return;
        }
        for (int i = 0; i < copies; i++) {
            cluster.after(randomDelayMs(), () -> {
                delivered++;
                repeat.run();
            });
        }
    }

    /** Returns a delay of which each order of magnitude is equally likely. */
    private long randomDelayMs() {
        return (long) Math.pow(MAX_DELAY_MS, random.nextDouble());
    }
}
