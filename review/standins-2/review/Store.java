package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** The platform's store of rows: linearizable, keeps its whole history, answers at once. */
final class Store implements AutoCloseable {

    static final ObjectMapper JSON = new ObjectMapper();

    private record Value(String base64, long version) {}

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, TreeMap<String, Value>> tables = new HashMap<>();
    private final HttpServer server;
    private long version;

    Store(String ip, int port) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        server = HttpServer.create(new InetSocketAddress(ip, port), 0);
        server.createContext("/-/rows-tx", this::transact);
        server.createContext("/-/rows-get", this::read);
        server.createContext("/-/rows-feed", this::feed);
        server.setExecutor(threads);
        server.start();
    }

    /** Writes a row as the operator does. */
    synchronized void put(String table, String key, String value) {
        version++;
        rows(table).put(key, new Value(encode(value), version));
        notifyAll();
    }

    private static String encode(String value) {
        return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    }

    private TreeMap<String, Value> rows(String table) {
        return tables.computeIfAbsent(table, name -> new TreeMap<>());
    }

    private void transact(HttpExchange exchange) throws IOException {
        JsonNode call = JSON.readTree(exchange.getRequestBody().readAllBytes());
        ObjectNode answer = JSON.createObjectNode();
        answer(exchange, transact(call, answer) ? 200 : 412, answer);
    }

    private synchronized boolean transact(JsonNode call, ObjectNode answer) {
        boolean holds = true;
        for (JsonNode row : call.path("expectedRev")) {
            Value found = find(row);
            holds &= (found == null ? 0 : found.version()) == row.path("ver").asLong();
        }
        if (holds) {
            version++;
            call.path("puts").forEach(row -> rows(row.path("table").asText())
                    .put(row.path("key").asText(), new Value(row.path("value").asText(), version)));
            call.path("deletes").forEach(row -> rows(row.path("table").asText())
                    .put(row.path("key").asText(), new Value(null, version)));
            notifyAll();
        } else {
            ArrayNode present = answer.putArray("rows");
            call.path("expectedRev").forEach(row -> {
                Value found = find(row);
                if (found != null) {
                    add(present, row.path("table").asText(), row.path("key").asText(), found);
                }
            });
        }
        finish(answer);
        return holds;
    }

    private Value find(JsonNode row) {
        Value found = rows(row.path("table").asText()).get(row.path("key").asText());
        return found == null || found.base64() == null ? null : found;
    }

    private void finish(ObjectNode answer) {
        answer.put("ver", version).put("nowMs", Recorder.now());
    }

    private static void add(ArrayNode list, String table, String key, Value value) {
        ObjectNode row = list.addObject();
        row.put("table", table).put("part", "").put("key", key).put("ver", value.version());
        if (value.base64() == null) {
            row.put("tombstone", true);
        } else {
            row.put("value", value.base64());
        }
    }

    private void read(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        ObjectNode answer = JSON.createObjectNode();
        synchronized (this) {
            ArrayNode list = answer.putArray("rows");
            int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
            boolean more = false;
            String table = query.get("table");
            for (var row : rows(table).tailMap(query.getOrDefault("from", "")).entrySet()) {
                more = list.size() >= limit;
                if (more) {
                    break;
                }
                if (row.getValue().base64() != null) {
                    add(list, table, row.getKey(), row.getValue());
                }
            }
            answer.put("hasMore", more);
            finish(answer);
        }
        answer(exchange, 200, answer);
    }

    private void feed(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long until = Recorder.now() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        ObjectNode answer = JSON.createObjectNode();
        synchronized (this) {
            ArrayNode list = answer.putArray("rows");
            addChanges(list, table, after);
            while (list.isEmpty() && Recorder.now() < until) {
                try {
                    wait(Math.max(1, until - Recorder.now()));
                } catch (InterruptedException e) {
                    break;
                }
                addChanges(list, table, after);
            }
            finish(answer);
        }
        answer(exchange, 200, answer);
    }

    private void addChanges(ArrayNode list, String table, long after) {
        rows(table).entrySet().stream()
                .filter(row -> row.getValue().version() > after)
                .sorted((one, other) -> Long.compare(one.getValue().version(), other.getValue().version()))
                .forEach(row -> add(list, table, row.getKey(), row.getValue()));
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        for (String pair : exchange.getRequestURI().getQuery().split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return query;
    }

    private static void answer(HttpExchange exchange, int status, ObjectNode body) throws IOException {
        byte[] bytes = JSON.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
