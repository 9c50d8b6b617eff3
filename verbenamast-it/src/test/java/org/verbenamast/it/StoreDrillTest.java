package org.verbenamast.it;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.verbenamast.it.deploy.Http;
import org.verbenamast.it.deploy.RelayFleet;
import org.verbenamast.it.deploy.Wiring;

import static org.assertj.core.api.Assertions.assertThat;

/** A store that comes back from an older copy, with real processes and stand-ins. */
class StoreDrillTest {

    private static final int HOSTS = 3;
    private static final int KEYS = 65_536;
    private static final int KEY_STEP = 8_209;
    private static final long MOST_WAIT_SECONDS = 60;
    /** Time for a manifest to be in force at a node, in seconds; far above what the platform demands. */
    private static final long MANIFEST_SECONDS = 10;

    private static final long PAUSE_MILLIS = 100;
    /** More than the nodes write until the end of the test, so that no version reaches a lost one by then. */
    private static final int LOST_VERSIONS = 600;

    private int attempts;

    @Test
    void should_apply_a_manifest_at_all_nodes_when_the_store_has_come_back_from_an_older_copy() throws Exception {
        // given
        Path root = Path.of("..").toAbsolutePath().normalize();
        try (RelayFleet fleet = RelayFleet.start(root, Path.of("target", "store-drill"), HOSTS, Wiring.DIRECT)) {
            awaitKeys(fleet);
            for (int write = 0; write < LOST_VERSIONS; write++) {
                write(fleet, "unrelated", "row", "content");
            }
            writeManifest(fleet, 2, "two");
            awaitRoute(fleet, "two", MANIFEST_SECONDS);

            // when
            Http.post(fleet.store(), "/admin/drill?silentMs=1000&versions=" + (LOST_VERSIONS + 1), Map.of());
            TimeUnit.SECONDS.sleep(12);
            writeManifest(fleet, 3, "three");

            // then
            awaitRoute(fleet, "three", MANIFEST_SECONDS);
            awaitKeys(fleet);
        }
    }

    private void awaitKeys(RelayFleet fleet) throws Exception {
        for (int host = 0; host < HOSTS; host++) {
            for (int key = 0; key < KEYS; key += KEY_STEP) {
                awaitServed(fleet, host, "/stock/item", Integer.toString(key), MOST_WAIT_SECONDS);
            }
        }
    }

    private void awaitRoute(RelayFleet fleet, String route, long seconds) throws Exception {
        for (int host = 0; host < HOSTS; host++) {
            awaitServed(fleet, host, "/" + route + "/slot", "", seconds);
        }
    }

    private void awaitServed(RelayFleet fleet, int host, String path, String key, long seconds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        List<Integer> statuses = new ArrayList<>();
        while (!statuses.contains(200) && System.nanoTime() < end) {
            HttpRequest.Builder request = fleet.request(host, path, "attempt-" + ++attempts);
            if (!key.isEmpty()) {
                request.header("X-Verbenamast-Shard-Key", key);
            }
            try {
                statuses.add(Http.send(request).statusCode());
            } catch (IOException e) {
                statuses.add(0);
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
        assertThat(statuses).as("%s at host %d", path, host).endsWith(200);
    }

    private static void writeManifest(RelayFleet fleet, long version, String route) throws IOException {
        write(fleet, "op", "config", """
                {"version": %d,
                 "routes": [
                  {"name": "stock", "host": "127.0.0.1", "prefix": "/stock/", "kind": "safe", "timeoutMs": 3000,
                   "targetLatencyMs": 300, "priority": 2, "maxAttempts": 2, "service": "stock"},
                  {"name": "%s", "host": "127.0.0.1", "prefix": "/%s/", "kind": "safe", "timeoutMs": 3000,
                   "targetLatencyMs": 300, "priority": 1, "maxAttempts": 2, "service": "book"}],
                 "services": [{"name": "stock", "sharded": true}, {"name": "book"}]}
                """.formatted(version, route, route));
    }

    private static void write(RelayFleet fleet, String table, String key, String value) throws IOException {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        Map<String, String> put = Map.of("table", table, "part", "", "key", key, "value", encoded);
        int status = Http.post(fleet.store(), "/-/rows-tx", Map.of("puts", List.of(put)));
        assertThat(status).isEqualTo(200);
    }
}
