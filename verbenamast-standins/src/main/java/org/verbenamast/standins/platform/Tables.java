package org.verbenamast.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/** The tables of the platform's stand-in: transactions take effect whole, where each row has the expected version. */
final class Tables {

    private final Map<String, TreeMap<String, StoredRow>> tables = new HashMap<>();

    /**
     * A row.
     *
     * @param table the table
     * @param id the id
     * @param version the version
     * @param value the value
     */
    record StoredRow(String table, String id, long version, JsonNode value) {}

    /**
     * A write of a transaction.
     *
     * @param table the table
     * @param id the id
     * @param expectedVersion the version that the row must have, or 0 where it must not exist
     * @param value the value
     */
    record Write(String table, String id, long expectedVersion, JsonNode value) {}

    /**
     * The end of a transaction.
     *
     * @param committed whether it took effect
     * @param rows the present rows of the transaction
     */
    record Result(boolean committed, List<StoredRow> rows) {}

    List<StoredRow> scan(String table) {
        return new ArrayList<>(tables.getOrDefault(table, new TreeMap<>()).values());
    }

    List<StoredRow> read(String table, String id) {
        StoredRow row = find(table, id);
        return row == null ? List.of() : List.of(row);
    }

    private StoredRow find(String table, String id) {
        return tables.getOrDefault(table, new TreeMap<>()).get(id);
    }

    Result commit(List<Write> writes) {
        boolean expected = writes.stream().allMatch(write -> versionOf(write) == write.expectedVersion());
        if (expected) {
            writes.forEach(this::store);
        }
        List<StoredRow> rows = new ArrayList<>();
        writes.forEach(write -> rows.addAll(read(write.table(), write.id())));
        return new Result(expected, rows);
    }

    private long versionOf(Write write) {
        StoredRow row = find(write.table(), write.id());
        return row == null ? 0 : row.version();
    }

    private void store(Write write) {
        StoredRow row = new StoredRow(write.table(), write.id(), write.expectedVersion() + 1, write.value());
        tables.computeIfAbsent(write.table(), name -> new TreeMap<>()).put(write.id(), row);
    }
}
