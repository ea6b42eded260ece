import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers are Long or Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.blank();
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
    static List<Map<String, Object>> objects(Object list) {
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }

    static long integer(Map<String, Object> fields, String name) {
        return fields.get(name) instanceof Number number ? number.longValue() : 0;
    }

    static double number(Map<String, Object> fields, String name) {
        return fields.get(name) instanceof Number number ? number.doubleValue() : 0;
    }

    /** Returns a map of the names and values, in order. */
    static Map<String, Object> map(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return map;
    }

    private void blank() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        blank();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            blank();
            while (text.charAt(at) != '}') {
                blank();
                String name = string();
                blank();
                expect(':');
                map.put(name, value());
                blank();
                if (text.charAt(at) == ',') {
                    at++;
                }
                blank();
            }
            at++;
            return map;
        } else if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            blank();
            while (text.charAt(at) != ']') {
                list.add(value());
                blank();
                if (text.charAt(at) == ',') {
                    at++;
                }
                blank();
            }
            at++;
            return list;
        } else if (c == '"') {
            return string();
        }
        int from = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String token = text.substring(from, at);
        return switch (token) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> token.matches("-?[0-9]+") ? (Object) Long.valueOf(token) : (Object) Double.valueOf(token);
        };
    }

    private void expect(char c) {
        if (text.charAt(at) != c) {
            throw new IllegalArgumentException("expected " + c + " at " + at);
        }
        at++;
    }

    private String string() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                c = text.charAt(at++);
                switch (c) {
                    case 'n' -> out.append('\n');
                    case 't' -> out.append('\t');
                    case 'r' -> out.append('\r');
                    case 'b' -> out.append('\b');
                    case 'f' -> out.append('\f');
                    case 'u' -> {
                        out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> out.append(c);
                }
            } else {
                out.append(c);
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
            String separator = "";
            for (Map.Entry<?, ?> field : map.entrySet()) {
                out.append(separator);
                write(out, field.getKey());
                out.append(':');
                write(out, field.getValue());
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String separator = "";
            for (Object element : list) {
                out.append(separator);
                write(out, element);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
