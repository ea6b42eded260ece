package dewlane.cli;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A table of a TOML file whose values are checked as they are read. Unknown keys are ignored. */
final class TomlTable {
    private static final int MAX_PORT = 65_535;

    private final String file;
    private final String path;
    private final UnmodifiableConfig table;

    private TomlTable(String file, String path, UnmodifiableConfig table) {
        this.file = file;
        this.path = path;
        this.table = table;
    }

    /** Reads a file. */
    static TomlTable read(String file) throws SettingsException {
        try (Reader reader = Files.newBufferedReader(Path.of(file))) {
            return new TomlTable(file, "", new TomlParser().parse(reader));
        } catch (IOException | InvalidPathException e) {
            throw new SettingsException(file + ": cannot be read");
        } catch (ParsingException e) {
            throw new SettingsException(file + ": is not TOML: "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    private SettingsException wrong(String key, String expected) {
        return new SettingsException(file + ": " + path + key + ": expected " + expected);
    }

    private Object value(String key) {
        return table.get(List.of(key));
    }

    /** True if the key is there. */
    boolean has(String key) {
        return value(key) != null;
    }

    /** The table of that key. */
    TomlTable table(String key) throws SettingsException {
        if (value(key) instanceof UnmodifiableConfig nested) {
            return new TomlTable(file, path + key + ".", nested);
        }
        throw wrong(key, "a table");
    }

    /** The tables of an array; none if the key is missing. */
    List<TomlTable> tables(String key) throws SettingsException {
        List<TomlTable> tables = new ArrayList<>();
        if (value(key) == null) {
            return tables;
        }
        if (!(value(key) instanceof List<?> list)) {
            throw wrong(key, "an array of tables");
        }
        for (Object element : list) {
            if (!(element instanceof UnmodifiableConfig nested)) {
                throw wrong(key, "an array of tables");
            }
            tables.add(new TomlTable(file, path + key + ".", nested));
        }
        return tables;
    }

    /** The string of that key, which is not empty. */
    String text(String key) throws SettingsException {
        if (value(key) instanceof String text && !text.isBlank()) {
            return text;
        }
        throw wrong(key, "a string that is not empty");
    }

    /** The strings of an array. */
    List<String> texts(String key) throws SettingsException {
        List<String> texts = new ArrayList<>();
        if (!(value(key) instanceof List<?> list)) {
            throw wrong(key, "an array of strings");
        }
        for (Object element : list) {
            if (!(element instanceof String text)) {
                throw wrong(key, "an array of strings");
            }
            texts.add(text);
        }
        return texts;
    }

    /** An address of the form 10.0.0.1:8080. */
    String address(String key) throws SettingsException {
        String address = value(key) instanceof String text ? text : "";
        int colon = address.lastIndexOf(':');
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            if (colon > 0 && port > 0 && port <= MAX_PORT) {
                return address;
            }
        } catch (NumberFormatException e) {
            // falls through to the message below
        }
        throw wrong(key, "an address such as 10.0.0.1:8080");
    }

    /** The number of that key, which is at least as given. */
    double number(String key, double least) throws SettingsException {
        if (value(key) instanceof Number number && isAtLeast(number.doubleValue(), least)) {
            return number.doubleValue();
        }
        throw wrong(key, "a number of at least " + plain(least));
    }

    /** As {@link #number(String, double)}, with a value for a missing key. */
    double number(String key, double least, double missing) throws SettingsException {
        return has(key) ? number(key, least) : missing;
    }

    /** The number of that key, which is above 0. */
    double positive(String key) throws SettingsException {
        if (value(key) instanceof Number number && isPositive(number.doubleValue())) {
            return number.doubleValue();
        }
        throw wrong(key, "a number above 0");
    }

    /** The integer of that key, which is at least as given. */
    int count(String key, int least) throws SettingsException {
        if (value(key) instanceof Integer count && count >= least) {
            return count;
        }
        throw wrong(key, "an integer of at least " + least);
    }

    private static boolean isAtLeast(double number, double least) {
        return Double.isFinite(number) && number >= least;
    }

    private static boolean isPositive(double number) {
        return Double.isFinite(number) && number > 0;
    }

    private static String plain(double number) {
        return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
    }
}
