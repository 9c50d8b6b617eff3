package org.verbenamast.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowValue;
import org.verbenamast.core.store.StoreRequest;
import org.verbenamast.core.store.TableName;

/** Rows as the table service keeps them and as its replies carry them, in JSON. */
public final class RowJson {

    private static final ObjectMapper MAPPER = new ObjectMapper()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .registerModule(new SimpleModule()
                    .addSerializer(new TextForm.Writer<>(MemberId.class))
                    .addDeserializer(MemberId.class, new TextForm.Reader<>(MemberId.class, MemberId::parse))
                    .addSerializer(new TextForm.Writer<>(Address.class))
                    .addDeserializer(Address.class, new TextForm.Reader<>(Address.class, Address::parse))
                    .addSerializer(new TextForm.Writer<>(ServiceName.class))
                    .addDeserializer(ServiceName.class, new TextForm.Reader<>(ServiceName.class, ServiceName::new))
                    .addSerializer(new TextForm.Writer<>(Zone.class))
                    .addDeserializer(Zone.class, new TextForm.Reader<>(Zone.class, Zone::new)))
            .registerModule(TableForms.module());

    private RowJson() {}

    /**
     * Writes what a row holds.
     *
     * @param value the value
     * @return the JSON
     */
    public static byte[] write(RowValue value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a row's record should always be writable", e);
        }
    }

    /**
     * Reads a row.
     *
     * @param table the name of the table
     * @param id the id within the table
     * @param version the version
     * @param json the JSON
     * @return the row
     * @throws WireException where the table is not known or the JSON can't be read
     */
    public static Row read(String table, String id, long version, byte[] json) throws WireException {
        try {
            RowKey key = new RowKey(TableName.valueOf(table), id);
            return new Row(key, version, MAPPER.readValue(json, key.table().type()));
        } catch (IOException | RuntimeException e) {
            throw WireException.shouldBeReadableRow(table + "/" + id, e.getMessage());
        }
    }

    /**
     * Writes a transaction as the table service takes it.
     *
     * @param commit the transaction
     * @return the JSON
     */
    public static byte[] writeCommit(StoreRequest.Commit commit) {
        List<WriteJson> writes = new ArrayList<>();
        commit.writes()
                .forEach(write -> writes.add(new WriteJson(
                        write.key().table().name(),
                        write.key().id(),
                        write.expectedVersion(),
                        MAPPER.valueToTree(write.value()))));
        try {
            return MAPPER.writeValueAsBytes(new CommitJson(writes));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a transaction should always be writable", e);
        }
    }

    /**
     * Reads the rows of a reply of the table service.
     *
     * @param json the JSON
     * @return the rows
     * @throws WireException where the reply or one of its rows can't be read
     */
    public static List<Row> readReply(byte[] json) throws WireException {
        RowsJson reply;
        try {
            reply = MAPPER.readValue(json, RowsJson.class);
        } catch (IOException e) {
            throw WireException.shouldBeReadableRow("reply", e.getMessage());
        }
        List<Row> rows = new ArrayList<>();
        for (RowItem item : reply.rows()) {
            rows.add(read(
                    item.table(),
                    item.id(),
                    item.version(),
                    item.value().toString().getBytes(UTF_8)));
        }
        return rows;
    }

    /**
     * Writes rows as a reply of the table service carries them.
     *
     * @param rows the rows
     * @return the JSON
     */
    public static byte[] writeReply(List<Row> rows) {
        List<RowItem> items = new ArrayList<>();
        rows.forEach(row -> items.add(
                new RowItem(row.key().table().name(), row.key().id(), row.version(), MAPPER.valueToTree(row.value()))));
        try {
            return MAPPER.writeValueAsBytes(new RowsJson(items));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("rows should always be writable", e);
        }
    }

    /**
     * Returns the mapper that knows the text forms of small records.
     *
     * @return the mapper, which is not changed any more
     */
    static ObjectMapper mapper() {
        return MAPPER;
    }

    private static final java.nio.charset.Charset UTF_8 = java.nio.charset.StandardCharsets.UTF_8;

    /**
     * A transaction in JSON.
     *
     * @param writes the rows to write
     */
    record CommitJson(List<WriteJson> writes) {}

    /**
     * One row of a transaction in JSON.
     *
     * @param table the name of the table
     * @param id the id within the table
     * @param expectedVersion the version that the row must have
     * @param value what the row is to hold
     */
    record WriteJson(String table, String id, long expectedVersion, JsonNode value) {}

    /**
     * The rows of a reply in JSON.
     *
     * @param rows the rows
     */
    record RowsJson(List<RowItem> rows) {}

    /**
     * A row of a reply in JSON.
     *
     * @param table the name of the table
     * @param id the id within the table
     * @param version the version
     * @param value what the row holds
     */
    record RowItem(String table, String id, long version, JsonNode value) {}
}
