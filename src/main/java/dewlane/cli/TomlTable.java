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

/** A table of a TOML file, whose values are validated as they are read. Unknown keys are ignored. */
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

    /** Reads a file as its top-level table. */
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

    private SettingsException invalid(String key, String expected) {
        return new SettingsException(file + ": " + path + key + ": expected " + expected);
    }

    private Object value(String key) {
        return table.get(List.of(key));
    }

    /** Returns true if the table has the key. */
    boolean has(String key) {
        return value(key) != null;
    }

    /** Returns the table under a key. */
    TomlTable table(String key) throws SettingsException {
        if (value(key) instanceof UnmodifiableConfig nested) {
            return new TomlTable(file, path + key + ".", nested);
        }
        throw invalid(key, "a table");
    }

    /** Returns the tables of the array under a key, or an empty list if the key is missing. */
    List<TomlTable> tables(String key) throws SettingsException {
        List<TomlTable> tables = new ArrayList<>();
        if (value(key) == null) {
            return tables;
        }
        if (!(value(key) instanceof List<?> list)) {
            throw invalid(key, "an array of tables");
        }
        for (Object element : list) {
            if (!(element instanceof UnmodifiableConfig nested)) {
                throw invalid(key, "an array of tables");
            }
            tables.add(new TomlTable(file, path + key + ".", nested));
        }
        return tables;
    }

    /** Returns the string under a key, which must not be blank. */
    String text(String key) throws SettingsException {
        if (value(key) instanceof String text && !text.isBlank()) {
            return text;
        }
        throw invalid(key, "a string that is not empty");
    }

    /** Returns the strings of the array under a key. */
    List<String> texts(String key) throws SettingsException {
        List<String> texts = new ArrayList<>();
        if (!(value(key) instanceof List<?> list)) {
            throw invalid(key, "an array of strings");
        }
        for (Object element : list) {
            if (!(element instanceof String text)) {
                throw invalid(key, "an array of strings");
            }
            texts.add(text);
        }
        return texts;
    }

    /** Returns the address under a key, which must have the form 10.0.0.1:8080. */
    String address(String key) throws SettingsException {
        String address = value(key) instanceof String text ? text : "";
        int colon = address.lastIndexOf(':');
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            if (colon > 0 && port > 0 && port <= MAX_PORT) {
                return address;
            }
        } catch (NumberFormatException e) {
            // Handled below, as any other malformed address.
        }
        throw invalid(key, "an address such as 10.0.0.1:8080");
    }

    /** Returns the number under a key, which must be at least {@code min}. */
    double number(String key, double min) throws SettingsException {
        if (value(key) instanceof Number number && isAtLeast(number.doubleValue(), min)) {
            return number.doubleValue();
        }
        throw invalid(key, "a number of at least " + format(min));
    }

    /**
     * Returns the number under a key, which must be at least {@code min}, or {@code defaultValue} if the key is
     * missing.
     */
    double number(String key, double min, double defaultValue) throws SettingsException {
        return has(key) ? number(key, min) : defaultValue;
    }

    /** Returns the number under a key, which must be above 0. */
    double positive(String key) throws SettingsException {
        if (value(key) instanceof Number number && isPositive(number.doubleValue())) {
            return number.doubleValue();
        }
        throw invalid(key, "a number above 0");
    }

    /** Returns the integer under a key, which must be at least {@code min}. */
    int count(String key, int min) throws SettingsException {
        if (value(key) instanceof Integer count && count >= min) {
            return count;
        }
        throw invalid(key, "an integer of at least " + min);
    }

    private static boolean isAtLeast(double number, double min) {
        return Double.isFinite(number) && number >= min;
    }

    private static boolean isPositive(double number) {
        return Double.isFinite(number) && number > 0;
    }

    private static String format(double number) {
        return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
    }
}
