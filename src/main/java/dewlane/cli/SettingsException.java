package dewlane.cli;

/** A settings file that cannot be used; the message is for the operator. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1;

    /** The message names the file, the key and what was expected. */
    public SettingsException(String message) {
        super(message);
    }
}
