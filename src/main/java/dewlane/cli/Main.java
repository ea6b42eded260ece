package dewlane.cli;

import dewlane.io.Node;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ParseResult;

/** The command line. */
public final class Main {
    private static final int WRONG_SETTINGS = 2;

    private Main() { }

    public static void main(String[] args) {
        CommandLine line = new CommandLine(spec());
        ParseResult parsed;
        try {
            parsed = line.parseArgs(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            line.usage(System.err);
            System.exit(WRONG_SETTINGS);
            return;
        }
        if (line.isUsageHelpRequested()) {
            line.usage(System.out);
        } else if (line.isVersionHelpRequested()) {
            line.printVersionHelp(System.out);
        } else if (parsed.hasMatchedOption("--warm-up")) {
            WarmUp.run();
        } else {
            run(parsed.matchedOptionValue("--config", (String) null), parsed.matchedOptionValue("--operators", (String) null));
        }
    }

    private static CommandSpec spec() {
        CommandSpec spec = CommandSpec.create().name("dewlane");
        spec.version("dewlane " + version());
        spec.usageMessage().description("Schedules jobs on rented machines, as one of a set of controllers.");
        spec.addOption(OptionSpec.builder("--config").paramLabel("FILE").type(String.class)
                .description("the deployment's settings (TOML), required").build());
        spec.addOption(OptionSpec.builder("--operators").paramLabel("FILE").type(String.class)
                .description("the operators' own settings (TOML), optional").build());
        spec.addOption(OptionSpec.builder("--warm-up").hidden(true).type(boolean.class).arity("0").build());
        spec.addOption(OptionSpec.builder("-h", "--help").usageHelp(true).type(boolean.class).arity("0")
                .description("prints this and exits").build());
        spec.addOption(OptionSpec.builder("-V", "--version").versionHelp(true).type(boolean.class).arity("0")
                .description("prints the version and exits").build());
        return spec;
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "(not packaged)" : version;
    }

    private static void run(String config, String operators) {
        if (config == null) {
            System.err.println("Missing required option: --config FILE");
            new CommandLine(spec()).usage(System.err);
            System.exit(WRONG_SETTINGS);
        }
        boolean badLevel = configureLog();
        Logger log = LoggerFactory.getLogger(Main.class);
        if (badLevel) {
            log.warn("LOG_LEVEL must be error, info or debug; using info");
        }
        try {
            DeployFile file = DeployFile.read(config, operators);
            new Node(file.settings(), file.endpoints(), new SecureRandom().nextLong()).start();
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            System.exit(WRONG_SETTINGS);
        } catch (IOException | RuntimeException e) {
            log.error("cannot start: {}", e.toString());
            System.exit(1);
        }
    }

    /** Sets the log up from LOG_LEVEL; true if that names no level. */
    static boolean configureLog() {
        String level = System.getenv("LOG_LEVEL");
        boolean bad = false;
        String chosen = "info";
        if (level != null && !level.isEmpty()) {
            switch (level.toLowerCase(Locale.ROOT)) {
                case "error", "info", "debug" -> chosen = level.toLowerCase(Locale.ROOT);
                default -> bad = true;
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
        return bad;
    }
}
