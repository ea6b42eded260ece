package dewlane.io;

import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Parses the answers of other services in such a way that each request has a result, whatever its answer contains. */
final class AnswerParser {
    private static final Logger LOG = LoggerFactory.getLogger(AnswerParser.class);

    private AnswerParser() {}

    /** Parses one answer. */
    interface Parser<T> {
        T parse() throws IOException;
    }

    /**
     * Returns the parsed answer, or {@code ifMalformed} if parsing it fails in any way, which is logged.
     *
     * @param description describes the answer in the log line
     */
    static <T> T parse(String description, Parser<T> parser, T ifMalformed) {
        try {
            return parser.parse();
        } catch (IOException | RuntimeException | StackOverflowError e) {
            LOG.error("malformed {}: {}", description, e.toString());
            return ifMalformed;
        }
    }
}
