package dewlane.sim;

/** Runs the first action that it is given and ignores all later ones. It decides between a reply and its timeout. */
final class RunOnce {
    private boolean hasRun;

    /** True once an action has been run. */
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
