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
    private final String file;
    private final String path;
    private final UnmodifiableConfig table;

    private TomlTable(String file, String path, UnmodifiableConfig table) {
        this.file = file;
        this.path = path;
        this.table = table;
    }

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

    boolean has(String key) {
        return value(key) != null;
    }

    TomlTable table(String key) throws SettingsException {
        if (value(key) instanceof UnmodifiableConfig c) {
            return new TomlTable(file, path + key + ".", c);
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
        for (Object o : list) {
            if (!(o instanceof UnmodifiableConfig c)) {
                throw wrong(key, "an array of tables");
            }
            tables.add(new TomlTable(file, path + key + ".", c));
        }
        return tables;
    }

    String text(String key) throws SettingsException {
        if (value(key) instanceof String s && !s.isBlank()) {
            return s;
        }
        throw wrong(key, "a string that is not empty");
    }

    List<String> texts(String key) throws SettingsException {
        List<String> texts = new ArrayList<>();
        if (!(value(key) instanceof List<?> list)) {
            throw wrong(key, "an array of strings");
        }
        for (Object o : list) {
            if (!(o instanceof String s)) {
                throw wrong(key, "an array of strings");
            }
            texts.add(s);
        }
        return texts;
    }

    /** An address of the form 10.0.0.1:8080. */
    String address(String key) throws SettingsException {
        String s = value(key) instanceof String given ? given : "";
        int colon = s.lastIndexOf(':');
        try {
            int port = Integer.parseInt(s.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 65_536) {
                return s;
            }
        } catch (NumberFormatException e) {
            // falls through to the message below
        }
        throw wrong(key, "an address such as 10.0.0.1:8080");
    }

    double number(String key, double least) throws SettingsException {
        if (value(key) instanceof Number n && Double.isFinite(n.doubleValue()) && n.doubleValue() >= least) {
            return n.doubleValue();
        }
        throw wrong(key, "a number of at least " + plain(least));
    }

    /** As {@link #number(String, double)}, with a value for a missing key. */
    double number(String key, double least, double missing) throws SettingsException {
        return has(key) ? number(key, least) : missing;
    }

    double positive(String key) throws SettingsException {
        if (value(key) instanceof Number n && Double.isFinite(n.doubleValue()) && n.doubleValue() > 0) {
            return n.doubleValue();
        }
        throw wrong(key, "a number above 0");
    }

    int count(String key, int least) throws SettingsException {
        if (value(key) instanceof Integer n && n >= least) {
            return n;
        }
        throw wrong(key, "an integer of at least " + least);
    }

    private static String plain(double d) {
        return d == Math.rint(d) ? String.valueOf((long) d) : String.valueOf(d);
    }
}
