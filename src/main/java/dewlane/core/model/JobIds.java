package dewlane.core.model;

import java.util.AbstractCollection;
import java.util.Collection;
import java.util.Iterator;
import java.util.NoSuchElementException;

/**
 * An immutable sequence of job ids that takes little memory, as each controller holds the dependencies of all jobs that
 * have not ended. Ids are front-coded: each is stored as the number of characters that it shares with the beginning of
 * the id before it, the number of its other characters, both as one character, and these characters. Ids with
 * successive numbers take about three bytes each. Each iteration decodes the ids anew, so callers should not keep them.
 */
public final class JobIds extends AbstractCollection<String> {
    /** No ids. */
    public static final JobIds NONE = new JobIds("", 0);

    private final String encoded;
    private final int size;

    private JobIds(String encoded, int size) {
        this.encoded = encoded;
        this.size = size;
    }

    /** Returns the given ids, in the order of their iteration. */
    public static JobIds of(Collection<String> ids) {
        if (ids instanceof JobIds compact) {
            return compact;
        }
        if (ids.isEmpty()) {
            return NONE;
        }
        StringBuilder text = new StringBuilder();
        String previous = "";
        for (String id : ids) {
            int shared = sharedLength(previous, id);
            text.append((char) shared).append((char) (id.length() - shared)).append(id, shared, id.length());
            previous = id;
        }
        return new JobIds(text.toString(), ids.size());
    }

    private static int sharedLength(String one, String other) {
        int length = Math.min(one.length(), other.length());
        int shared = 0;
        while (shared < length && one.charAt(shared) == other.charAt(shared)) {
            shared++;
        }
        return shared;
    }

    @Override
    public int size() {
        return size;
    }

    /** Returns the number of characters in which the ids are stored, of one byte each. */
    public int encodedLength() {
        return encoded.length();
    }

    @Override
    public Iterator<String> iterator() {
        return new Decoder();
    }

    /** Returns true if the other object holds the same ids in the same order. */
    @Override
    public boolean equals(Object other) {
        return other instanceof JobIds ids && encoded.equals(ids.encoded);
    }

    @Override
    public int hashCode() {
        return encoded.hashCode();
    }

    /** Decodes one id after the other. */
    private final class Decoder implements Iterator<String> {
        private String current = "";
        private int position;

        @Override
        public boolean hasNext() {
            return position < encoded.length();
        }

        @Override
        public String next() {
            if (!hasNext()) {
                throw new NoSuchElementException();
            }
            int shared = encoded.charAt(position);
            int begin = position + 2;
            int end = begin + encoded.charAt(position + 1);
            current = current.substring(0, shared).concat(encoded.substring(begin, end));
            position = end;
            return current;
        }
    }
}
