package dewlane.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.config.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reads valid and invalid settings files. */
class SettingsFilesTest {
    private static final Path GOOD = Path.of("docs/example-settings.toml");

    @TempDir
    private Path dir;

    private String fileWith(String good, String bad) throws IOException {
        String text = Files.readString(GOOD);
        assertTrue(text.contains(good), good);
        return Files.writeString(dir.resolve("deploy.toml"), text.replace(good, bad))
                .toString();
    }

    @Test
    void goodFileIsReadAndUnknownFieldsAreIgnored() throws SettingsException {
        SettingsFiles file = SettingsFiles.read(GOOD.toString(), null);
        assertEquals("node-0", file.settings().controllerName());
        assertEquals("127.0.0.1:18085", file.network().store());
        assertEquals(16_384, file.settings().maxValueBytes());
        assertEquals(10, file.settings().shortestObjectiveS("guarantee", "any"));
        assertTrue(file.settings().teams().get("blue").hasLimit());
        assertFalse(new Settings.TeamQuota("none", 0, 0, 0, 0).hasLimit());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "node_name = \"node-0\" | node_name = 7 | node_name: expected a string that is not empty",
                "serve_on = \"127.0.0.1:18080\" | serve_on = \"here\" | "
                        + "serve_on: expected an address such as 10.0.0.1:8080",
                "[services] | [other] | services: expected a table",
                "report_s = 3.0 | report_s = \"3\" | settings.workers.report_s: expected a number above 0",
                "txn_ops = 16 | txn_ops = 1.5 | settings.state.txn_ops: expected an integer of at least 2",
                "cpus_max = 16.0 | cpus_max = -1 | settings.teams.cpus_max: expected a number of at least 0",
                "zones = [\"east\", \"west\"] | zones = [1] | settings.zones: expected an array of strings",
                "max_sockets = 1000 | max_sockets = true | "
                        + "settings.resources.max_sockets: expected an integer of at least 136",
                "max_sockets = 1000 | max_sockets = 135 | "
                        + "settings.resources.max_sockets: expected an integer of at least 136"
            })
    void badFieldIsNamedWithWhatWasExpected(String good, String bad, String message) throws IOException {
        String file = fileWith(good, bad);
        SettingsException e = assertThrows(SettingsException.class, () -> SettingsFiles.read(file, null));
        assertEquals(file + ": " + message, e.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "next = 7 | settings.state.next: expected a table",
                "next = { value_kb = \"2\" } | settings.state.next.value_kb: expected a number of at least 1",
                "next = { value_kb = 0.5 } | settings.state.next.value_kb: expected a number of at least 1",
                "next = { txn_ops = 1 } | settings.state.next.txn_ops: expected an integer of at least 2",
                "next = { write_rps = 0 } | settings.state.next.write_rps: expected a number above 0",
                "next = { rps = false } | settings.state.next.rps: expected a number above 0"
            })
    void badNextLimitIsNamedWithItsMinimum(String next, String message) throws IOException {
        String file = fileWith("txn_ops = 16", "txn_ops = 16\n" + next);
        SettingsException e = assertThrows(SettingsException.class, () -> SettingsFiles.read(file, null));
        assertEquals(file + ": " + message, e.getMessage());
    }

    @Test
    void sizesStayWithinSmallerOfBothLimits() throws IOException, SettingsException {
        String file =
                fileWith("txn_ops = 16", "txn_ops = 16\nnext = { value_kb = 2.0, txn_ops = 20, write_rps = 21.0 }");
        Settings settings = SettingsFiles.read(file, null).settings();
        assertEquals(2048, settings.maxValueBytes());
        assertEquals(16, settings.maxTransactionWrites());
        assertEquals(64, settings.maxTransactionPreconditions());
        assertEquals(100, settings.storeRequestsPerS());
        assertEquals(30, settings.store().current().writesPerS());
        assertEquals(21, settings.store().reducedWritesPerS());
        Settings without = SettingsFiles.read(GOOD.toString(), null).settings();
        assertEquals(without.store().current(), without.store().next());
    }

    @Test
    void unreadableFileIsReportedInOneLine() throws IOException {
        String file = Files.writeString(dir.resolve("bad.toml"), "= = =\n").toString();
        assertTrue(assertThrows(SettingsException.class, () -> SettingsFiles.read(file, null))
                .getMessage()
                .startsWith(file + ": is not TOML"));
        assertEquals(
                "nowhere.toml: cannot be read",
                assertThrows(SettingsException.class, () -> SettingsFiles.read("nowhere.toml", null))
                        .getMessage());
    }

    @Test
    void operatorsSettingsReplaceDefaults() throws IOException, SettingsException {
        String operators =
                Files.writeString(dir.resolve("own.toml"), "silent_s = 20\n").toString();
        Settings.Tuning tuning =
                SettingsFiles.read(GOOD.toString(), operators).settings().tuning();
        assertEquals(20, tuning.machineTimeoutS());
        assertEquals(Settings.Tuning.defaults().scaleInIdleS(), tuning.scaleInIdleS());
        String bad =
                Files.writeString(dir.resolve("own.toml"), "silent_s = 1\n").toString();
        assertEquals(
                bad + ": silent_s: expected a number of at least 5",
                assertThrows(SettingsException.class, () -> SettingsFiles.read(GOOD.toString(), bad))
                        .getMessage());
    }
}
