import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with the seconds since the start. */
final class Log {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Log() {}

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void line(String text) {
        String line = String.format(Locale.ROOT, "%8.3f %s", now(), text);
        if (out != null) {
            out.println(line);
        }
    }
}
