package dewlane.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON with Jackson's streaming parser and generator. */
final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /** Something that writes JSON. */
    interface Body {
        void write(JsonGenerator out) throws IOException;
    }

    static byte[] write(Body body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
            body.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * The document's object, as maps, lists, strings, numbers and booleans.
     *
     * @throws IOException if it is not JSON, not an object, or followed by more
     */
    static Map<String, Object> object(byte[] bytes) throws IOException {
        try (JsonParser in = FACTORY.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not a JSON object");
            }
            Map<String, Object> read = fields(in);
            if (in.nextToken() != null) {
                throw new IOException("more than one JSON value");
            }
            return read;
        }
    }

    private static Map<String, Object> fields(JsonParser in) throws IOException {
        Map<String, Object> map = new HashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            in.nextToken();
            map.put(name, value(in));
        }
        return map;
    }

    private static Object value(JsonParser in) throws IOException {
        JsonToken token = in.currentToken();
        if (token == null) {
            throw new IOException("JSON ends too early");
        }
        return switch (token) {
            case START_OBJECT -> fields(in);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(in));
                }
                yield list;
            }
            case VALUE_STRING -> in.getText();
            case VALUE_NUMBER_INT ->
                in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) in.getBigIntegerValue()
                        : (Object) in.getLongValue();
            case VALUE_NUMBER_FLOAT -> in.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> throw new IOException("unexpected JSON");
        };
    }

    /** Writes a value as {@link #object} reads it. */
    static void writeValue(JsonGenerator out, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> field : map.entrySet()) {
                out.writeFieldName((String) field.getKey());
                writeValue(out, field.getValue());
            }
            out.writeEndObject();
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object element : list) {
                writeValue(out, element);
            }
            out.writeEndArray();
        } else if (value instanceof String text) {
            out.writeString(text);
        } else if (value instanceof Boolean flag) {
            out.writeBoolean(flag);
        } else if (value instanceof Long number) {
            out.writeNumber(number);
        } else if (value instanceof BigInteger number) {
            out.writeNumber(number);
        } else if (value instanceof Double number) {
            out.writeNumber(number);
        } else {
            out.writeNull();
        }
    }

    static String string(Map<String, Object> of, String field) {
        return of.get(field) instanceof String s ? s : null;
    }

    static long whole(Map<String, Object> of, String field) {
        return of.get(field) instanceof Number n ? n.longValue() : 0;
    }

    /** The number, or NaN if there is none. */
    static double number(Map<String, Object> of, String field) {
        return of.get(field) instanceof Number n ? n.doubleValue() : Double.NaN;
    }

    static boolean flag(Map<String, Object> of, String field) {
        return Boolean.TRUE.equals(of.get(field));
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Map<String, Object> of, String field) {
        return of.get(field) instanceof List<?> l ? (List<Object>) l : List.of();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return value instanceof Map<?, ?> m ? (Map<String, Object>) m : Map.of();
    }

    static List<String> strings(Map<String, Object> of, String field) {
        List<String> strings = new ArrayList<>();
        for (Object o : list(of, field)) {
            if (o instanceof String s) {
                strings.add(s);
            }
        }
        return strings;
    }
}
