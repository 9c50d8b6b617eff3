package org.verbenamast.wire;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;

/** What operators send a node and what it answers, in JSON. */
public final class OperatorJson {

    private OperatorJson() {}

    /**
     * Writes a record or a list of records.
     *
     * @param value the value
     * @return the JSON
     */
    public static byte[] write(Object value) {
        try {
            return RowJson.mapper().writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record should always be writable", e);
        }
    }

    /**
     * Reads a record.
     *
     * @param json the JSON
     * @param type the type of the record
     * @param <T> the type of the record
     * @return the record
     * @throws WireException where the JSON can't be read as such a record
     */
    public static <T> T read(byte[] json, Class<T> type) throws WireException {
        try {
            T value = RowJson.mapper().readValue(json, type);
            if (value == null) {
                throw WireException.shouldBeReadableRow(type.getSimpleName(), "nothing");
            }
            return value;
        } catch (IOException | RuntimeException e) {
            throw WireException.shouldBeReadableRow(type.getSimpleName(), e.getMessage());
        }
    }

    /**
     * Reads a list of records.
     *
     * @param json the JSON
     * @param type the type of the records
     * @param <T> the type of the records
     * @return the records
     * @throws WireException where the JSON can't be read as a list of such records
     */
    public static <T> List<T> readList(byte[] json, Class<T> type) throws WireException {
        try {
            return RowJson.mapper().readerForListOf(type).readValue(json);
        } catch (IOException | RuntimeException e) {
            throw WireException.shouldBeReadableRow("list of " + type.getSimpleName(), e.getMessage());
        }
    }
}
