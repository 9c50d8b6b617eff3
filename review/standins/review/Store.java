package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A sound store of rows: transactions under conditions, reads, and calls that wait for changes. */
final class Store {

    private record Row(String table, String part, String key, String value, long version) {}

    private static final int MAX_ROWS = 500;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final long startedAt = System.nanoTime();
    private final HttpServer server;
    private long version;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(Fleet::daemon));
        server.createContext("/", this::serve);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static String id(String table, String part, String key) {
        return table + '\u0001' + part + '\u0001' + key;
    }

    /** The operator's write. */
    synchronized void put(String table, String key, String text) {
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        rows.put(id(table, "", key), new Row(table, "", key, value, ++version));
        notifyAll();
    }

    private void serve(HttpExchange call) throws IOException {
        try (call) {
            Map<String, String> query = query(call.getRequestURI().getRawQuery());
            String path = call.getRequestURI().getPath();
            String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, Object> answer = new LinkedHashMap<>();
            int status = switch (path) {
                case "/-/rows-tx" -> commit(Json.object(body), answer);
                case "/-/rows-get" -> read(query, answer);
                case "/-/rows-feed" -> feed(query, answer);
                default -> 404;
            };
            byte[] bytes = Json.write(answer).getBytes(StandardCharsets.UTF_8);
            call.getResponseHeaders().set("Content-Type", "application/json");
            call.sendResponseHeaders(status, bytes.length);
            call.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String each : raw == null ? new String[0] : raw.split("&")) {
            int equals = each.indexOf('=');
            query.put(each.substring(0, equals), URLDecoder.decode(each.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private void stamp(Map<String, Object> answer) {
        answer.put("ver", version);
        answer.put("nowMs", (System.nanoTime() - startedAt) / 1_000_000);
    }

    private static Map<String, Object> shown(Row row) {
        Map<String, Object> shown = new LinkedHashMap<>();
        shown.put("table", row.table());
        shown.put("part", row.part());
        shown.put("key", row.key());
        if (row.value() == null) {
            shown.put("tombstone", true);
        } else {
            shown.put("value", row.value());
        }
        shown.put("ver", row.version());
        return shown;
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> list(Map<String, Object> call, String name) {
        return (List<Map<String, Object>>) call.getOrDefault(name, List.of());
    }

    private static String id(Map<String, Object> row) {
        return id((String) row.get("table"), (String) row.getOrDefault("part", ""), (String) row.get("key"));
    }

    private synchronized int commit(Map<String, Object> call, Map<String, Object> answer) {
        boolean holds = true;
        List<Object> present = new ArrayList<>();
        for (Map<String, Object> each : list(call, "expectedRev")) {
            Row row = rows.get(id(each));
            boolean exists = row != null && row.value() != null;
            holds &= (exists ? row.version() : 0) == ((Number) each.get("ver")).longValue();
            if (exists) {
                present.add(shown(row));
            }
        }
        if (!holds) {
            answer.put("rows", present);
            stamp(answer);
            return 412;
        }
        version++;
        for (Map<String, Object> each : list(call, "puts")) {
            rows.put(id(each), row(each, (String) each.get("value")));
        }
        for (Map<String, Object> each : list(call, "deletes")) {
            rows.put(id(each), row(each, null));
        }
        notifyAll();
        stamp(answer);
        return 200;
    }

    private Row row(Map<String, Object> each, String value) {
        String part = (String) each.getOrDefault("part", "");
        return new Row((String) each.get("table"), part, (String) each.get("key"), value, version);
    }

    private synchronized int read(Map<String, String> query, Map<String, Object> answer) {
        List<Object> found = new ArrayList<>();
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
        String from = id(query.get("table"), query.getOrDefault("part", ""), query.getOrDefault("from", ""));
        boolean more = false;
        for (Row row : rows.tailMap(from).values()) {
            if (!row.table().equals(query.get("table")) || !row.part().equals(query.getOrDefault("part", ""))) {
                break;
            }
            if (row.value() != null) {
                more = found.size() >= limit;
                if (more) {
                    break;
                }
                found.add(shown(row));
            }
        }
        answer.put("rows", found);
        answer.put("hasMore", more);
        stamp(answer);
        return 200;
    }

    private synchronized int feed(Map<String, String> query, Map<String, Object> answer) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            List<Row> changed = new ArrayList<>();
            for (Row row : rows.values()) {
                if (row.table().equals(query.get("table")) && row.version() > after) {
                    changed.add(row);
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) {
                changed.sort((one, other) -> Long.compare(one.version(), other.version()));
                answer.put("rows", new ArrayList<Object>(changed.stream().map(Store::shown).toList()));
                stamp(answer);
                return 200;
            }
            wait(left);
        }
    }
}
