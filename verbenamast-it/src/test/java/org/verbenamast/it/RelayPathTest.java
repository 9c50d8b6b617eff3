package org.verbenamast.it;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.verbenamast.it.deploy.Http;
import org.verbenamast.it.deploy.RelayFleet;
import org.verbenamast.it.deploy.Wiring;

import static org.assertj.core.api.Assertions.assertThat;

/** The path of requests on a platform with rows and heartbeats, with real processes and stand-ins. */
class RelayPathTest {

    private static final int HOSTS = 3;
    private static final int KEYS = 65_536;
    private static final int KEY_STEP = 4_099;
    private static final Duration MOST_WAIT = Duration.ofSeconds(60);
    private static final long NOT_SERVED_PAUSE_MILLIS = 100;

    private static RelayFleet fleet;
    private static int attempts;

    @BeforeAll
    static void start() throws IOException {
        fleet = RelayFleet.start(
                Path.of("..").toAbsolutePath().normalize(), Path.of("target", "relay-path"), HOSTS, Wiring.DIRECT);
        for (int host = 0; host < HOSTS; host++) {
            int at = host;
            awaitServed(() -> stock(at, 0));
            awaitServed(() -> book(at, "wait"));
        }
    }

    @AfterAll
    static void stop() throws IOException {
        fleet.close();
    }

    /** Sends a request. */
    private interface Sending {
        HttpResponse<byte[]> send() throws IOException;
    }

    private static void awaitServed(Sending sending) throws IOException {
        long end = System.nanoTime() + MOST_WAIT.toNanos();
        int status = 0;
        while (status != 200 && System.nanoTime() < end) {
            try {
                status = sending.send().statusCode();
            } catch (IOException e) {
                status = 0;
            }
            pause();
        }
        assertThat(status).isEqualTo(200);
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(NOT_SERVED_PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static HttpRequest.Builder request(int host, String path) {
        return fleet.request(host, path, "attempt-" + ++attempts);
    }

    private static HttpResponse<byte[]> stock(int host, int key) throws IOException {
        return Http.send(request(host, "/stock/item").header("X-Verbenamast-Shard-Key", Integer.toString(key)));
    }

    private static HttpResponse<byte[]> book(int host, String body) throws IOException {
        return Http.send(request(host, "/book/slot").POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    private static String bodyOf(HttpResponse<byte[]> answer) {
        return new String(answer.body(), StandardCharsets.UTF_8);
    }

    @Test
    void should_reach_one_server_for_a_key_when_any_node_takes_the_request() throws IOException {
        for (int key = 0; key < KEYS; key += KEY_STEP) {
            // when
            String first = bodyOf(stock(0, key));
            String second = bodyOf(stock(1, key));
            String third = bodyOf(stock(2, key));

            // then
            assertThat(first).startsWith("server-").isEqualTo(second).isEqualTo(third);
        }
    }

    @Test
    void should_pass_the_whole_body_when_an_order_goes_to_another_host() throws IOException {
        // given
        String body = "x".repeat(300_000);

        // when
        HttpResponse<byte[]> answer = book(0, body);

        // then
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(bodyOf(answer)).isEqualTo("server-2 book/slot " + body);
        assertThat(answer.headers().firstValue("X-Verbenamast-Response-Signature"))
                .hasValue("server-2");
    }

    @Test
    void should_answer_not_found_when_no_route_matches() throws IOException {
        assertThat(Http.send(request(0, "/nowhere/")).statusCode()).isEqualTo(404);
    }

    @Test
    void should_serve_a_host_again_when_its_relay_was_killed() throws Exception {
        // given
        fleet.relay(1).destroyForcibly().waitFor();

        // when
        fleet.startRelay(1);

        // then
        for (int key = 0; key < KEYS; key += KEY_STEP) {
            int at = key;
            awaitServed(() -> stock(0, at));
        }
        awaitServed(() -> book(1, "again"));
    }
}
