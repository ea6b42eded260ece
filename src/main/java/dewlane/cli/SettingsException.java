package dewlane.cli;

/** Thrown if a settings file cannot be used; the message is shown to the operator. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception whose message names the file and, as far as there is one, the key and the expected value.
     */
    public SettingsException(String message) {
        super(message);
    }
}
