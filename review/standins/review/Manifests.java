package review;

/** The manifest of the small deployment: its services, routes and limits as the users' pages show them. */
final class Manifests {

    static final String HOST = "jepu9.example";

    private Manifests() {}

    /** One route to each of an unsafe, a safe and a download service. */
    static String plain() {
        return """
                {"version": 7,
                 "routes": [
                  {"name": "r-order", "host": "jepu9.example", "prefix": "/order/", "kind": "unsafe", "timeoutMs": 3000,
                   "targetLatencyMs": 400, "priority": 1, "service": "jadwal", "maxAttempts": 2},
                  {"name": "r-look", "host": "jepu9.example", "prefix": "/look/", "kind": "safe", "timeoutMs": 3000,
                   "targetLatencyMs": 300, "priority": 2, "service": "jadwal", "maxAttempts": 2}],
                 "services": [
                  {"name": "jadwal", "healthPath": "/health", "maxConns": 130, "protocol": "h1", "tls": false,
                   "coldStartS": 3.0, "coldPerS": 20.0}],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                  "idleTimeoutMs": 15000}}
                """;
    }

    /** A route to each of a download and an unsafe service; downloads are not to wait for longer than given. */
    static String downloads(int timeoutMillis) {
        return """
                {"version": 7,
                 "routes": [
                  {"name": "r-order", "host": "jepu9.example", "prefix": "/order/", "kind": "unsafe", "timeoutMs": 3000,
                   "targetLatencyMs": 400, "priority": 1, "service": "jadwal", "maxAttempts": 2},
                  {"name": "r-manual", "host": "jepu9.example", "prefix": "/manual/", "kind": "download",
                   "timeoutMs": %d, "targetLatencyMs": 300, "priority": 2, "service": "pustaka", "maxAttempts": 2}],
                 "services": [
                  {"name": "jadwal", "healthPath": "/health", "maxConns": 130, "protocol": "h1", "tls": false,
                   "coldStartS": 3.0, "coldPerS": 20.0},
                  {"name": "pustaka", "healthPath": "/health", "maxConns": 130, "protocol": "h1", "tls": false,
                   "coldStartS": 3.0, "coldPerS": 20.0}],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                  "idleTimeoutMs": 15000}}
                """.formatted(timeoutMillis);
    }

    /** A route to a service that is divided by key. */
    static String keyed() {
        return """
                {"version": 7,
                 "routes": [
                  {"name": "r-stock", "host": "jepu9.example", "prefix": "/stock/", "kind": "safe", "timeoutMs": 2000,
                   "targetLatencyMs": 300, "priority": 2, "service": "gudang", "maxAttempts": 2}],
                 "services": [
                  {"name": "gudang", "healthPath": "/health", "maxConns": 130, "protocol": "h1", "tls": false,
                   "coldStartS": 3.0, "coldPerS": 20.0, "sharded": true, "warmS": 3.0, "grants": "heartbeat"}],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                  "idleTimeoutMs": 15000}}
                """;
    }
}
