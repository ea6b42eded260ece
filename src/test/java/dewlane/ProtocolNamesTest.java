package dewlane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that the field names of the protocols occur only in {@code dewlane.wire}, which maps them to the names used in
 * the rest of the code.
 */
class ProtocolNamesTest {
    private static final Path SOURCES = Path.of("src/main/java/dewlane");
    private static final Path WIRE = SOURCES.resolve("wire");
    private static final Pattern STRING_LITERAL = Pattern.compile("\"((?:[^\"\\\\]|\\\\.)*)\"");

    /** Field names of the five protocols, except for those that are also common words in the code. */
    private static final Set<String> PROTOCOL_NAMES = Set.of(
            "rack",
            "racks",
            "cask",
            "casks",
            "cellar",
            "cellars",
            "consignment",
            "bottle",
            "bottles",
            "pour",
            "tally",
            "seal",
            "steward",
            "recallS",
            "kept",
            "fault",
            "order",
            "orders",
            "restS",
            "try",
            "indent",
            "heldS",
            "hourly",
            "marketPrice",
            "readyS",
            "ramGb",
            "vcpus",
            "uid",
            "lot",
            "house",
            "rank",
            "blend",
            "pullGb",
            "samePlace",
            "scatter",
            "maturingS",
            "rackingS",
            "corkingS",
            "shipByS",
            "awaits",
            "ledger",
            "entry",
            "tenancy",
            "condition");

    private static List<Path> sources(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }

    private static Set<String> protocolNamesIn(Path file) throws IOException {
        Matcher literals = STRING_LITERAL.matcher(Files.readString(file));
        return literals.results()
                .map(literal -> literal.group(1))
                .filter(PROTOCOL_NAMES::contains)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void protocolNamesOccurOnlyInWire() throws IOException {
        Set<String> found = new TreeSet<>();
        for (Path file : sources(SOURCES)) {
            if (!file.startsWith(WIRE)) {
                protocolNamesIn(file).forEach(name -> found.add(file.getFileName() + ": " + name));
            }
        }
        assertEquals(Set.of(), found);
    }

    /** Checks that the list above holds only names that the protocols use. */
    @Test
    void eachListedNameOccursInWire() throws IOException {
        Set<String> used = new TreeSet<>();
        for (Path file : sources(WIRE)) {
            used.addAll(protocolNamesIn(file));
        }
        Set<String> unused = new TreeSet<>(PROTOCOL_NAMES);
        unused.removeAll(used);
        assertTrue(unused.isEmpty(), "names that occur in no class of dewlane.wire: " + unused);
    }
}
