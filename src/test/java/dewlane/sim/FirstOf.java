package dewlane.sim;

/** Lets only the first of several events take effect, such as a reply and its timeout, and ignores the later ones. */
final class FirstOf {
    private boolean decided;

    /** True once an event has taken effect. */
    boolean isDecided() {
        return decided;
    }

    void run(Runnable action) {
        if (!decided) {
            decided = true;
            action.run();
        }
    }
}
