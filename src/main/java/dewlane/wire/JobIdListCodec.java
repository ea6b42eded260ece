package dewlane.wire;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A list of job ids in few bytes, as hundreds of them have to fit into the value of the job that awaits them. Ids are a
 * prefix and digits; those with equally many digits are sorted and written as differences, five bits a character:
 * {@code 6:differences;7:differences}.
 */
final class JobIdListCodec {
    private static final String PREFIX = "wk-";
    /** The first half ends a number, the second half says that more of it follows. */
    private static final String DIGITS = "0123456789ABCDEFGHIJKLMNOPQRSTUV" + "abcdefghijklmnopqrstuvwxyz!#$&*+";

    private static final int BITS = 5;
    private static final int MORE = 1 << BITS;

    private JobIdListCodec() {}

    /** The text of a list; the order of the ids is lost. */
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
        BigInteger base = BigInteger.valueOf(MORE);
        while (left.compareTo(base) >= 0) {
            text.append(DIGITS.charAt(MORE + left.mod(base).intValue()));
            left = left.shiftRight(BITS);
        }
        text.append(DIGITS.charAt(left.intValue()));
    }

    /** The ids of a list; throws {@link IllegalArgumentException} if the text is none. */
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

    /** Reads the ids of one length. */
    private static void readGroup(String group, List<String> ids) {
        int colon = group.indexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not a list of job ids: " + group);
        }
        int length = Integer.parseInt(group.substring(0, colon));
        BigInteger number = BigInteger.ZERO;
        BigInteger difference = BigInteger.ZERO;
        int shift = 0;
        for (char character : group.substring(colon + 1).toCharArray()) {
            int digit = DIGITS.indexOf(character);
            if (digit < 0) {
                throw new IllegalArgumentException("not a list of job ids: " + character);
            }
            difference = difference.add(BigInteger.valueOf(digit % MORE).shiftLeft(shift));
            shift += BITS;
            if (digit < MORE) {
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
