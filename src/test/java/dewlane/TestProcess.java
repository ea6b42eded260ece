package dewlane;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Processes that run a main class of the tests with the memory that a deployed controller has. */
public final class TestProcess {
    private static final Path DEPLOY_FILE = Path.of("deploy/service.toml");
    private static final String COMMAND_KEY = "run = ";
    private static final long TIMEOUT_S = 120;

    private TestProcess() {}

    /** Returns the options of the virtual machine in the deploy file, without those about the class archive. */
    public static List<String> deployedOptions() throws IOException {
        String line = Files.readAllLines(DEPLOY_FILE).stream()
                .filter(text -> text.startsWith(COMMAND_KEY))
                .findFirst()
                .orElseThrow();
        String command = line.substring(COMMAND_KEY.length()).replace("\"", "");
        Predicate<String> isOption = word -> word.startsWith("-X") && !word.contains("Share");
        return Arrays.stream(command.split(" ")).filter(isOption).toList();
    }

    /** Runs the main class in a new virtual machine with the given options, and returns its exit code. */
    public static int run(List<String> options, Class<?> main, String... arguments)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.add("-cp");
        command.add(System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
        command.add(main.getName());
        command.addAll(List.of(arguments));
        Path output = Files.createTempFile("process", ".log");
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        try {
            assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the process has not ended");
            return process.exitValue();
        } finally {
            process.destroyForcibly();
            System.out.println(Files.readString(output));
            Files.delete(output);
        }
    }
}
