package dewlane.wire;

import java.util.BitSet;

/** Sets of tasks as ranges, such as 0-4,7: tasks are launched in order, so there are few. */
final class TaskRangeCodec {
    private TaskRangeCodec() {}

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

    static BitSet read(String text) {
        BitSet set = new BitSet();
        if (!text.isEmpty()) {
            for (String range : text.split(",")) {
                int dash = range.indexOf('-');
                int from = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
                set.set(from, 1 + (dash < 0 ? from : Integer.parseInt(range.substring(dash + 1))));
            }
        }
        return set;
    }
}
