package dewlane.cli;

import dewlane.io.ControllerServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The entry point: parses the command line and starts the controller. */
public final class Main {
    private static final int EXIT_INVALID_INPUT = 2;
    private static final String WARM_UP = "warm-up";

    private Main() {}

    /** Reads the command line, starts the controller and returns; its I/O thread keeps the process running. */
    public static void main(String[] args) {
        CommandLine line;
        try {
            line = DefaultParser.builder()
                    .setAllowPartialMatching(false)
                    .build()
                    .parse(options(), args);
            if (!line.getArgList().isEmpty()) {
                throw new ParseException(
                        "Unknown argument: " + line.getArgList().get(0));
            }
        } catch (ParseException e) {
            exitWithUsage(e.getMessage());
            return;
        }
        if (line.hasOption("help")) {
            printUsage(new PrintWriter(System.out, true, StandardCharsets.UTF_8));
        } else if (line.hasOption("version")) {
            System.out.println("dewlane " + version());
        } else if (line.hasOption(WARM_UP)) {
            WarmUp.run();
        } else if (line.hasOption("config")) {
            runController(line.getOptionValue("config"), line.getOptionValue("operators"));
        } else {
            exitWithUsage("Missing required option: --config FILE");
        }
    }

    private static Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("config")
                        .hasArg()
                        .argName("FILE")
                        .desc("the deployment's settings (TOML), required")
                        .build())
                .addOption(Option.builder()
                        .longOpt("operators")
                        .hasArg()
                        .argName("FILE")
                        .desc("the operators' own settings (TOML), optional")
                        .build())
                .addOption(Option.builder()
                        .longOpt(WARM_UP)
                        .desc("only for the build: loads the classes that a controller needs, and exits")
                        .build())
                .addOption(Option.builder("h")
                        .longOpt("help")
                        .desc("prints this and exits")
                        .build())
                .addOption(Option.builder("V")
                        .longOpt("version")
                        .desc("prints the version and exits")
                        .build());
    }

    private static void printUsage(PrintWriter to) {
        HelpFormatter help = new HelpFormatter();
        help.printHelp(
                to,
                100,
                "dewlane --config FILE [--operators FILE]",
                "Schedules jobs on rented machines, as one of a set of controllers.",
                options(),
                2,
                2,
                "");
        to.flush();
    }

    private static void exitWithUsage(String reason) {
        System.err.println(reason);
        printUsage(new PrintWriter(System.err, true, StandardCharsets.UTF_8));
        System.exit(EXIT_INVALID_INPUT);
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "(not packaged)" : version;
    }

    private static void runController(String config, String operators) {
        boolean invalidLevel = configureLog();
        Logger log = LoggerFactory.getLogger(Main.class);
        if (invalidLevel) {
            log.warn("LOG_LEVEL must be error, info or debug; using info");
        }
        try {
            SettingsFiles file = SettingsFiles.read(config, operators);
            new ControllerServer(file.settings(), file.network(), new SecureRandom().nextLong()).start();
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_INVALID_INPUT);
        } catch (IOException | RuntimeException e) {
            log.error("cannot start: {}", e.toString());
            System.exit(1);
        }
    }

    /** Configures the log from LOG_LEVEL; returns true if its value is invalid, so that info is used. */
    static boolean configureLog() {
        String level = System.getenv("LOG_LEVEL");
        boolean invalid = false;
        String chosen = "info";
        if (level != null && !level.isEmpty()) {
            switch (level.toLowerCase(Locale.ROOT)) {
                case "error", "info", "debug" -> chosen = level.toLowerCase(Locale.ROOT);
                default -> invalid = true;
            }
        }
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", chosen);
        System.setProperty("org.slf4j.simpleLogger.log.org.xnio", "error");
        System.setProperty("org.slf4j.simpleLogger.log.io.undertow", "error");
        System.setProperty("org.slf4j.simpleLogger.log.org.jboss", "error");
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
        System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        return invalid;
    }
}
