package dewlane.wire;

import java.util.BitSet;

/** Sets of tasks as ranges, such as 0-4,7: tasks are launched in order, so there are few. */
final class TaskRangeCodec {
    private TaskRangeCodec() {}

    /** The text of a set. */
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

    /** The set of a text; throws a runtime exception if the text is none. */
    static BitSet read(String text) {
        BitSet set = new BitSet();
        if (!text.isEmpty()) {
            for (String range : text.split(",")) {
                readRange(range, set);
            }
        }
        return set;
    }

    private static void readRange(String range, BitSet into) {
        int dash = range.indexOf('-');
        if (dash < 0) {
            into.set(Integer.parseInt(range));
            return;
        }
        int first = Integer.parseInt(range.substring(0, dash));
        int last = Integer.parseInt(range.substring(dash + 1));
        into.set(first, last + 1);
    }
}
