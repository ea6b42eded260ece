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

    /** The document that the body writes. */
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
            Map<String, Object> read = readFields(in);
            if (in.nextToken() != null) {
                throw new IOException("more than one JSON value");
            }
            return read;
        }
    }

    private static Map<String, Object> readFields(JsonParser in) throws IOException {
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
            case START_OBJECT -> readFields(in);
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

    /** Writes a field with an array of strings. */
    static void writeStrings(JsonGenerator out, String field, Iterable<String> strings) throws IOException {
        out.writeArrayFieldStart(field);
        for (String string : strings) {
            out.writeString(string);
        }
        out.writeEndArray();
    }

    /** The string, or null if there is none. */
    static String string(Map<String, Object> fields, String field) {
        return fields.get(field) instanceof String string ? string : null;
    }

    /** The number without its fraction, or 0 if there is none. */
    static long integer(Map<String, Object> fields, String field) {
        return fields.get(field) instanceof Number number ? number.longValue() : 0;
    }

    /** The number, or NaN if there is none. */
    static double number(Map<String, Object> fields, String field) {
        return fields.get(field) instanceof Number number ? number.doubleValue() : Double.NaN;
    }

    /** True if the field is true, false if it is anything else or absent. */
    static boolean bool(Map<String, Object> fields, String field) {
        return Boolean.TRUE.equals(fields.get(field));
    }

    /** The elements of an array, or none if there is no array. */
    @SuppressWarnings("unchecked")
    static List<Object> list(Map<String, Object> fields, String field) {
        return fields.get(field) instanceof List<?> list ? (List<Object>) list : List.of();
    }

    /** The fields of an object, or none if the value is no object. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return value instanceof Map<?, ?> object ? (Map<String, Object>) object : Map.of();
    }

    /** The strings of an array; elements of other types are left out. */
    static List<String> strings(Map<String, Object> fields, String field) {
        List<String> strings = new ArrayList<>();
        for (Object element : list(fields, field)) {
            if (element instanceof String string) {
                strings.add(string);
            }
        }
        return strings;
    }
}
