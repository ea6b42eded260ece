package dewlane.wire;

import java.util.BitSet;

/**
 * Encodes and decodes sets of tasks as ranges, such as {@code 0-4,7}. Tasks are launched in order, so a set has few
 * ranges.
 */
final class TaskRangeCodec {
    private TaskRangeCodec() {}

    /** Encodes a set. */
    static String write(BitSet set) {
        StringBuilder text = new StringBuilder();
        for (int from = set.nextSetBit(0); from >= 0; ) {
            int to = set.nextClearBit(from) - 1;
            text.append(text.length() == 0 ? "" : ",").append(from);
            if (to > from) {
                text.append('-').append(to);
            }
            from = set.nextSetBit(to + 1);
        }
        return text.toString();
    }

    /** Decodes a set; throws a runtime exception if the text is malformed. */
    static BitSet read(String text) {
        BitSet set = new BitSet();
        if (!text.isEmpty()) {
            for (String range : text.split(",")) {
                readRange(range, set);
            }
        }
        return set;
    }

    private static void readRange(String range, BitSet set) {
        int dash = range.indexOf('-');
        if (dash < 0) {
            set.set(Integer.parseInt(range));
            return;
        }
        int first = Integer.parseInt(range.substring(0, dash));
        int last = Integer.parseInt(range.substring(dash + 1));
        set.set(first, last + 1);
    }
}
