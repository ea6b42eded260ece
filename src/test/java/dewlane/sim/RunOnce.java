package dewlane.sim;

/** Lets only the first of several events take effect, such as a reply and its timeout, and ignores the later ones. */
final class RunOnce {
    private boolean hasRun;

    /** True once an event has taken effect. */
    boolean hasRun() {
        return hasRun;
    }

    void run(Runnable action) {
        if (!hasRun) {
            hasRun = true;
            action.run();
        }
    }
}
