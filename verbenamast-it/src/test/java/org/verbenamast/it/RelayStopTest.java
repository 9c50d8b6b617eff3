package org.verbenamast.it;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.verbenamast.it.deploy.Processes;
import org.verbenamast.it.deploy.RelayFleet;
import org.verbenamast.it.deploy.Wiring;

import static org.assertj.core.api.Assertions.assertThat;

/** A node that is stopped while a backend server answers nothing. */
class RelayStopTest {

    private static final int GRACE_SECONDS = 3;
    private static final int SERVER_HOST = 2;
    private static final int REQUESTS = 12;
    private static final int REQUESTS_BEFORE_STOP = 2;
    private static final long PAUSE_MILLIS = 100;
    private static final long MOST_WAIT_MILLIS = 30_000;

    private final HttpClient client = HttpClient.newHttpClient();
    private int attempts;

    private CompletableFuture<Integer> book(RelayFleet fleet) {
        HttpRequest request = fleet.request(0, "/book/slot", "attempt-" + ++attempts)
                .POST(HttpRequest.BodyPublishers.ofString("one"))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.discarding()).thenApply(HttpResponse::statusCode);
    }

    private void awaitServed(RelayFleet fleet) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MOST_WAIT_MILLIS);
        int status = 0;
        while (status != 200 && System.nanoTime() < end) {
            status = book(fleet).exceptionally(e -> 0).get();
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
        assertThat(status).isEqualTo(200);
    }

    /** Guards against requests that a stopping node takes and cuts off, without an answer, at its exit. */
    @Test
    void should_answer_every_request_that_it_took_when_a_node_is_stopped() throws Exception {
        Path root = Path.of("..").toAbsolutePath().normalize();
        try (RelayFleet fleet = RelayFleet.start(root, Path.of("target", "relay-stop"), 3, Wiring.DIRECT)) {
            // given
            fleet.relay(0).destroyForcibly().waitFor();
            fleet.startRelay(0, GRACE_SECONDS);
            awaitServed(fleet);
            assertThat(Processes.freeze(fleet.server(SERVER_HOST)).waitFor()).isZero();

            // when
            List<CompletableFuture<Integer>> answers = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                if (i == REQUESTS_BEFORE_STOP) {
                    fleet.relay(0).destroy();
                }
                answers.add(book(fleet));
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }

            // then
            for (CompletableFuture<Integer> answer : answers) {
                assertThat(answer.get()).isBetween(500, 504);
            }
            assertThat(fleet.relay(0).waitFor(GRACE_SECONDS, TimeUnit.SECONDS)).isTrue();
            assertThat(fleet.relay(0).exitValue()).isZero();
        }
    }
}
