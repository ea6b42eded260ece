package dewlane.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** The most recent events of a run, for failure messages. */
final class SimTrace {
    private static final int MAX_LINES = 4000;
    private static final int LINES_DROPPED_AT_ONCE = 2000;

    private final List<String> lines = new ArrayList<>();

    void add(long atMs, String line) {
        lines.add(atMs + " " + line);
        if (lines.size() > MAX_LINES) {
            lines.subList(0, LINES_DROPPED_AT_ONCE).clear();
        }
    }

    /** Returns the lines that contain the text, each followed by a line break. */
    String containing(String text) {
        return lines.stream()
                .filter(line -> line.contains(text))
                .map(line -> line + "\n")
                .collect(Collectors.joining());
    }

    /** Returns the last lines, each preceded by a line break. */
    String last(int count) {
        return lines.subList(Math.max(0, lines.size() - count), lines.size()).stream()
                .map(line -> "\n" + line)
                .collect(Collectors.joining());
    }
}
