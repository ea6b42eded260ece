package dewlane.wire;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Encodes and decodes lists of job ids in few bytes, since the ids of hundreds of dependencies have to fit into the
 * stored value of a job. An id is a prefix and digits. Ids with the same number of digits form a group, which is sorted
 * and written as the number of digits, a colon, and the differences between successive ids. A difference has five bits
 * per character, least significant bits first. Groups are separated by semicolons: {@code 6:differences;7:differences}.
 */
final class JobIdListCodec {
    private static final String PREFIX = "wk-";
    /** A character of the first half is the last one of a number; after one of the second half, more follow. */
    private static final String DIGITS = "0123456789ABCDEFGHIJKLMNOPQRSTUV" + "abcdefghijklmnopqrstuvwxyz!#$&*+";

    private static final int BITS_PER_CHARACTER = 5;
    private static final int BASE = 1 << BITS_PER_CHARACTER;

    private JobIdListCodec() {}

    /** Encodes a list; the order of the ids is lost. */
    static String write(Collection<String> ids) {
        Map<Integer, TreeSet<BigInteger>> byLength = new TreeMap<>();
        for (String id : ids) {
            String digits = id.substring(PREFIX.length());
            byLength.computeIfAbsent(digits.length(), length -> new TreeSet<>()).add(new BigInteger(digits));
        }
        StringBuilder text = new StringBuilder();
        byLength.forEach((length, numbers) -> {
            text.append(text.length() == 0 ? "" : ";").append(length).append(':');
            BigInteger last = BigInteger.ZERO;
            for (BigInteger number : numbers) {
                writeNumber(text, number.subtract(last));
                last = number;
            }
        });
        return text.toString();
    }

    private static void writeNumber(StringBuilder text, BigInteger number) {
        BigInteger left = number;
        BigInteger base = BigInteger.valueOf(BASE);
        while (left.compareTo(base) >= 0) {
            text.append(DIGITS.charAt(BASE + left.mod(base).intValue()));
            left = left.shiftRight(BITS_PER_CHARACTER);
        }
        text.append(DIGITS.charAt(left.intValue()));
    }

    /** Decodes a list; throws {@link IllegalArgumentException} if the text is malformed. */
    static List<String> read(String text) {
        List<String> ids = new ArrayList<>();
        if (text == null || text.isEmpty()) {
            return List.of();
        }
        for (String group : text.split(";")) {
            readGroup(group, ids);
        }
        return List.copyOf(ids);
    }

    /** Decodes the ids with the same number of digits. */
    private static void readGroup(String group, List<String> ids) {
        int colon = group.indexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException(
                    "malformed list of job ids: expected a number of digits and a colon, got " + group);
        }
        int length = Integer.parseInt(group.substring(0, colon));
        BigInteger number = BigInteger.ZERO;
        BigInteger difference = BigInteger.ZERO;
        int shift = 0;
        for (char character : group.substring(colon + 1).toCharArray()) {
            int digit = DIGITS.indexOf(character);
            if (digit < 0) {
                throw new IllegalArgumentException("malformed list of job ids: unexpected character " + character);
            }
            difference = difference.add(BigInteger.valueOf(digit % BASE).shiftLeft(shift));
            shift += BITS_PER_CHARACTER;
            if (digit < BASE) {
                number = number.add(difference);
                ids.add(id(number, length));
                difference = BigInteger.ZERO;
                shift = 0;
            }
        }
    }

    private static String id(BigInteger number, int length) {
        String digits = number.toString();
        return PREFIX + "0".repeat(Math.max(0, length - digits.length())) + digits;
    }
}
