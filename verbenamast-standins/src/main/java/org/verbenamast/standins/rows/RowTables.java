package org.verbenamast.standins.rows;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Rows in tables, with versions from one counter and transactions under conditions. */
final class RowTables {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private record Key(String table, String key) implements Comparable<Key> {

        @Override
        public int compareTo(Key other) {
            int byTable = table.compareTo(other.table);
            return byTable != 0 ? byTable : key.compareTo(other.key);
        }
    }

    private record Value(String base64, long version) {}

    /** What a row was before a transaction; null where it did not exist. */
    private record Former(long transaction, Key key, Value value) {}

    private final NavigableMap<Key, Value> rows = new TreeMap<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private final Deque<Former> formers = new ArrayDeque<>();
    private long version;

    /** Applies a transaction; answers whether it did. */
    boolean commit(JsonNode call, ObjectNode answer) {
        for (JsonNode expected : call.path("expectedRev")) {
            Value value = rows.get(key(expected));
            long found = value == null || value.base64() == null ? 0 : value.version();
            if (found != expected.path("ver").asLong()) {
                ArrayNode present = answer.putArray("rows");
                call.path("expectedRev").forEach(each -> add(present, key(each)));
                answer.put("ver", version);
                return false;
            }
        }
        version++;
        call.path("puts")
                .forEach(put -> put(key(put), new Value(put.path("value").asText(), version)));
        call.path("deletes").forEach(delete -> put(key(delete), new Value(null, version)));
        answer.put("ver", version);
        List<Runnable> told = List.copyOf(waiting);
        waiting.clear();
        told.forEach(Runnable::run);
        return true;
    }

    private void put(Key key, Value value) {
        formers.push(new Former(version, key, rows.put(key, value)));
    }

    /** Takes back the last transactions. */
    void takeBack(long transactions) {
        version = Math.max(1, version - transactions);
        while (!formers.isEmpty() && formers.peek().transaction() > version) {
            Former former = formers.pop();
            if (former.value() == null) {
                rows.remove(former.key());
            } else {
                rows.put(former.key(), former.value());
            }
        }
    }

    boolean has(long someVersion) {
        return someVersion <= version;
    }

    private static Key key(JsonNode row) {
        return new Key(row.path("table").asText(), row.path("key").asText());
    }

    private void add(ArrayNode list, Key key) {
        Value value = rows.get(key);
        if (value != null && value.base64() != null) {
            row(list.addObject(), key, value).put("value", value.base64());
        }
    }

    private static ObjectNode row(ObjectNode node, Key key, Value value) {
        return node.put("table", key.table())
                .put("part", "")
                .put("key", key.key())
                .put("ver", value.version());
    }

    ObjectNode read(String table, String from, int limit) {
        ObjectNode answer = MAPPER.createObjectNode();
        ArrayNode list = answer.putArray("rows");
        for (Key key : rows.tailMap(new Key(table, from)).keySet()) {
            if (!key.table().equals(table) || list.size() >= limit) {
                break;
            }
            add(list, key);
        }
        return answer.put("ver", version).put("hasMore", false);
    }

    /** Answers with the rows that have changed; with none where nothing has. */
    ObjectNode changes(String table, long after) {
        ObjectNode answer = MAPPER.createObjectNode();
        ArrayNode list = answer.putArray("rows");
        rows.forEach((key, value) -> {
            if (key.table().equals(table) && value.version() > after) {
                ObjectNode node = row(list.addObject(), key, value);
                if (value.base64() == null) {
                    node.put("tombstone", true);
                } else {
                    node.put("value", value.base64());
                }
            }
        });
        return answer.put("ver", version);
    }

    void whenChanged(Runnable then) {
        waiting.add(then);
    }
}
