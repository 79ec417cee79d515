package org.cornelway.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.cornelway.result.Result;
import org.cornelway.result.ResultCode;

/** Reads and writes records as JSON. Stateless and thread-safe. */
public final class Json {
    private static final ObjectMapper STRICT =
            JsonMapper.builder()
                    .addModule(new Jdk8Module())
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .build();
    private static final ObjectMapper LENIENT =
            JsonMapper.builder()
                    .addModule(new Jdk8Module())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private Json() {}

    /** Returns the mapper for documents of other systems; it ignores unknown fields. */
    public static ObjectMapper lenientMapper() {
        return LENIENT;
    }

    /**
     * Reads JSON that may contain secrets, such as customers' keys.
     *
     * @throws IOException if it is malformed; unlike that of the mapper, the message does not quote
     *     the text
     */
    public static JsonNode readTree(byte[] bytes) throws IOException {
        try {
            return LENIENT.readTree(bytes);
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            String where =
                    at == null ? "" : " at line " + at.getLineNr() + ", column " + at.getColumnNr();
            // The exception is no cause of the new one, since logs of causes have its message.
            throw new IOException("not valid JSON" + where);
        }
    }

    /**
     * Reads the JSON object or array in a response of another system.
     *
     * @throws IOException if there is no complete object or array, as in a response whose body was
     *     cut; the mapper itself reads an empty body as a value without fields
     */
    public static JsonNode readDocument(byte[] bytes) throws IOException {
        JsonNode node = readTree(bytes);
        if (!node.isContainerNode()) {
            throw new IOException("not a JSON object or array; length in bytes: " + bytes.length);
        }
        return node;
    }

    /** Returns the JSON form of a value. */
    public static byte[] write(Object value) {
        try {
            return LENIENT.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads a value that any version of this system wrote; ignores unknown fields, which a newer
     * version may have added. Empty if the value is malformed or the JSON literal {@code null}.
     */
    public static <T> Optional<T> read(byte[] bytes, Class<T> type) {
        try {
            return Optional.ofNullable(LENIENT.readValue(bytes, type));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Reads an operator's preset; fails on unknown fields and on missing numbers. */
    public static Result<Preset> readPreset(byte[] bytes) {
        try {
            return Result.ok(STRICT.readValue(bytes, Preset.class));
        } catch (JsonProcessingException e) {
            return Result.failed(ResultCode.INVALID_PRESET, e.getOriginalMessage());
        } catch (IOException e) {
            return Result.failed(ResultCode.INVALID_PRESET, String.valueOf(e.getMessage()));
        }
    }
}
