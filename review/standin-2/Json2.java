import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer for the stand-ins: objects, arrays, strings, numbers, booleans and null. */
final class Json2 {
    private final String text;
    private int at;

    private Json2(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json2 json = new Json2(text);
        Object value = json.value();
        json.blanks();
        if (json.at != text.length()) {
            throw new IllegalArgumentException("content after the JSON value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static long integer(Object value) {
        return value == null ? 0 : ((Number) value).longValue();
    }

    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    private void blanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        blanks();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            blanks();
            while (text.charAt(at) != '}') {
                String name = (String) value();
                blanks();
                expect(':');
                map.put(name, value());
                blanks();
                if (text.charAt(at) == ',') {
                    at++;
                    blanks();
                }
            }
            at++;
            return map;
        } else if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            blanks();
            while (text.charAt(at) != ']') {
                list.add(value());
                blanks();
                if (text.charAt(at) == ',') {
                    at++;
                    blanks();
                }
            }
            at++;
            return list;
        } else if (c == '"') {
            return string();
        } else if (text.startsWith("true", at)) {
            at += 4;
            return true;
        } else if (text.startsWith("false", at)) {
            at += 5;
            return false;
        } else if (text.startsWith("null", at)) {
            at += 4;
            return null;
        }
        int from = at;
        while (at < text.length() && "+-0123456789.eE".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String number = text.substring(from, at);
        if (number.isEmpty()) {
            throw new IllegalArgumentException("unexpected character at " + from);
        }
        boolean fraction = number.contains(".") || number.contains("e") || number.contains("E");
        return fraction ? (Object) Double.valueOf(number) : (Object) Long.valueOf(number);
    }

    private void expect(char c) {
        if (text.charAt(at++) != c) {
            throw new IllegalArgumentException("expected " + c + " at " + (at - 1));
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    private static void write(StringBuilder out, Object value) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(comma);
                quote(out, (String) entry.getKey());
                out.append(':');
                write(out, entry.getValue());
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String comma = "";
            for (Object element : list) {
                out.append(comma);
                write(out, element);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String text) {
            quote(out, text);
        } else {
            out.append(value);
        }
    }

    private static void quote(StringBuilder out, String text) {
        out.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < 0x20) {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }
}
