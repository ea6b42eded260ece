package dewlane.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Reads and writes JSON with Jackson's streaming parser and generator. */
final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /** Writes the contents of a JSON document. */
    interface DocumentWriter {
        void write(JsonGenerator out) throws IOException;
    }

    /** Returns the document that the writer writes. */
    static byte[] write(DocumentWriter writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
            writer.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Parses a document that is one object, into maps, lists, strings, numbers and booleans.
     *
     * @throws IOException if the document is not JSON, is not an object, or has content after it
     */
    static Map<String, Object> parse(byte[] bytes) throws IOException {
        return parse(bytes, null, element -> {});
    }

    /**
     * Parses a document that is one object, and passes each object in one of its arrays to a consumer as soon as it has
     * been parsed. The returned object holds an empty array in place of these, so that only one of them is in memory.
     *
     * @param arrayField the name of the array, or null for none; its elements of other types are skipped
     * @throws IOException if the document is not JSON, is not an object, or has content after it; some of the elements
     *     may have been consumed then
     */
    static Map<String, Object> parse(byte[] bytes, String arrayField, Consumer<Map<String, Object>> elementConsumer)
            throws IOException {
        try (JsonParser in = FACTORY.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("expected a JSON object");
            }
            Map<String, Object> document = readDocument(in, arrayField, elementConsumer);
            if (in.nextToken() != null) {
                throw new IOException("unexpected content after the JSON object");
            }
            return document;
        }
    }

    private static Map<String, Object> readDocument(
            JsonParser in, String arrayField, Consumer<Map<String, Object>> elementConsumer) throws IOException {
        Map<String, Object> document = new HashMap<>();
        String name = null;
        JsonToken token = nextToken(in);
        while (token != JsonToken.END_OBJECT) {
            if (token == JsonToken.FIELD_NAME) {
                name = in.currentName();
            } else if (token == JsonToken.START_ARRAY && name.equals(arrayField)) {
                document.put(name, List.of());
                readElements(in, elementConsumer);
            } else {
                document.put(name, readValue(in, token));
            }
            token = nextToken(in);
        }
        return document;
    }

    /** Reads the rest of an array whose start has been read. */
    private static void readElements(JsonParser in, Consumer<Map<String, Object>> consumer) throws IOException {
        JsonToken token = nextToken(in);
        while (token != JsonToken.END_ARRAY) {
            Object element = readValue(in, token);
            if (token == JsonToken.START_OBJECT) {
                consumer.accept(asObject(element));
            }
            token = nextToken(in);
        }
    }

    /**
     * Reads a value whose first token has been read. Objects and arrays that have not ended yet are kept on a stack of
     * their own, so that the depth of the document does not determine that of the call stack.
     */
    private static Object readValue(JsonParser in, JsonToken firstToken) throws IOException {
        Object outermost = value(in, firstToken);
        Deque<Object> open = new ArrayDeque<>();
        if (firstToken.isStructStart()) {
            open.push(outermost);
        }
        String name = null;
        while (!open.isEmpty()) {
            JsonToken token = nextToken(in);
            if (token == JsonToken.FIELD_NAME) {
                name = in.currentName();
            } else if (token.isStructEnd()) {
                open.pop();
            } else {
                Object value = value(in, token);
                add(open.peek(), name, value);
                if (token.isStructStart()) {
                    open.push(value);
                }
            }
        }
        return outermost;
    }

    private static JsonToken nextToken(JsonParser in) throws IOException {
        JsonToken token = in.nextToken();
        if (token == null) {
            throw new IOException("truncated JSON");
        }
        return token;
    }

    /** Adds a value to an array, or to an object under the given name. */
    @SuppressWarnings("unchecked")
    private static void add(Object container, String name, Object value) {
        if (container instanceof List<?> list) {
            ((List<Object>) list).add(value);
        } else {
            ((Map<String, Object>) container).put(name, value);
        }
    }

    /** Returns the value that the token is or starts; an object or array is still empty. */
    private static Object value(JsonParser in, JsonToken token) throws IOException {
        return switch (token) {
            case START_OBJECT -> new HashMap<String, Object>();
            case START_ARRAY -> new ArrayList<>();
            case VALUE_STRING -> in.getText();
            case VALUE_NUMBER_INT ->
                in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) in.getBigIntegerValue()
                        : (Object) in.getLongValue();
            case VALUE_NUMBER_FLOAT -> in.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> throw new IOException("unexpected JSON token");
        };
    }

    /** Writes a value that {@link #parse} has read. */
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

    /** Writes a field whose value is an array of strings. */
    static void writeStrings(JsonGenerator out, String field, Iterable<String> strings) throws IOException {
        out.writeArrayFieldStart(field);
        for (String string : strings) {
            out.writeString(string);
        }
        out.writeEndArray();
    }

    /** Returns the field's string, or null if it is absent or of another type. */
    static String string(Map<String, Object> fields, String field) {
        return fields.get(field) instanceof String string ? string : null;
    }

    /** Returns the field's number without its fraction, or 0 if it is absent or of another type. */
    static long integer(Map<String, Object> fields, String field) {
        return fields.get(field) instanceof Number number ? number.longValue() : 0;
    }

    /** Returns the field's number, or NaN if it is absent or of another type. */
    static double number(Map<String, Object> fields, String field) {
        return fields.get(field) instanceof Number number ? number.doubleValue() : Double.NaN;
    }

    /** Returns true if the field is true, and false if it is absent or anything else. */
    static boolean bool(Map<String, Object> fields, String field) {
        return Boolean.TRUE.equals(fields.get(field));
    }

    /** Returns the elements of the field's array, or an empty list if it is absent or no array. */
    @SuppressWarnings("unchecked")
    static List<Object> list(Map<String, Object> fields, String field) {
        return fields.get(field) instanceof List<?> list ? (List<Object>) list : List.of();
    }

    /** Returns the fields of an object, or an empty map if the value is no object. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> asObject(Object value) {
        return value instanceof Map<?, ?> object ? (Map<String, Object>) object : Map.of();
    }

    /** Returns the strings of the field's array; elements of other types are skipped. */
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
