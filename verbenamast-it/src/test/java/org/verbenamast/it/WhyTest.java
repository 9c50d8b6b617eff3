package org.verbenamast.it;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.Http;
import org.verbenamast.it.deploy.RelayFleet;
import org.verbenamast.it.deploy.Wiring;

import static org.assertj.core.api.Assertions.assertThat;

/** The cause of a failed request is found from its id and the nodes' logs alone. */
class WhyTest {

    private static final int HOSTS = 3;
    private static final int LAST = HOSTS - 1;
    private static final Path FOLDER = Path.of("target", "why");

    private static HttpResponse<byte[]> book(RelayFleet fleet, String id) throws IOException {
        return Http.send(fleet.request(0, "/book/slot", id).POST(HttpRequest.BodyPublishers.ofString("a seat")));
    }

    private static String why(String id) throws IOException {
        Process program = new ProcessBuilder(List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-jar",
                        Path.of("..", "verbenamast-ctl", "target", "verbenamast-ctl.jar")
                                .toString(),
                        "why",
                        id,
                        FOLDER.resolve("node-0.log").toString(),
                        FOLDER.resolve("node-" + LAST + ".log").toString()))
                .redirectErrorStream(true)
                .start();
        return new String(program.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    @Test
    void should_name_server_and_reason_when_a_request_over_two_nodes_was_refused() throws Exception {
        try (RelayFleet fleet =
                RelayFleet.start(Path.of("..").toAbsolutePath().normalize(), FOLDER, HOSTS, Wiring.DIRECT)) {
            // given
            Deployment.await(
                    "an order is served",
                    Deployed.HUNG_MILLIS,
                    () -> book(fleet, "before").statusCode() == 200);
            fleet.server(LAST).destroyForcibly().waitFor();

            // when
            String id = "refused-" + System.nanoTime();
            assertThat(book(fleet, id).statusCode()).isEqualTo(503);

            // then
            Deployment.await("the lines are written", Deployed.HUNG_MILLIS, () -> why(id).contains("entry"));
            assertThat(why(id))
                    .containsSubsequence("gate", "refused", "UNREACHABLE", "server=server-" + LAST)
                    .containsSubsequence("entry", "refused", "service=book", "peer=node-" + LAST);
        }
    }
}
