package dewlane.wire;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Reads names that many stored values have in common: of teams, classes, images, machine types, zones, controllers and
 * machines. Equal names share one string as long as there are not too many of them, as a controller holds the values of
 * all jobs that have not ended.
 */
final class SharedNames {
    private static final int MAX_NAMES = 10_000;
    private static final Cache<String, String> NAMES =
            Caffeine.newBuilder().maximumSize(MAX_NAMES).executor(Runnable::run).build();

    private SharedNames() {}

    /** Returns a string equal to the given one, or null for null. */
    static String share(String name) {
        return name == null ? null : NAMES.get(name, Function.identity());
    }

    /** Returns the field's string, or null if it is absent or of another type. */
    static String string(Map<String, Object> fields, String field) {
        return share(Json.string(fields, field));
    }

    /** Returns the strings of the field's array; elements of other types are skipped. */
    static List<String> strings(Map<String, Object> fields, String field) {
        return Json.strings(fields, field).stream().map(SharedNames::share).toList();
    }
}
