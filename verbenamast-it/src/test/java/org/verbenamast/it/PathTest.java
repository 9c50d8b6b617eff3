package org.verbenamast.it;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.DeploymentPlan.HostPlan;
import org.verbenamast.it.deploy.Http;
import org.verbenamast.it.deploy.Plans;
import org.verbenamast.it.deploy.ProcessSample;
import org.verbenamast.it.deploy.Wiring;

import static org.assertj.core.api.Assertions.assertThat;

class PathTest {

    private static final int KEYS = 40;
    private static final int BODY_OVER_LIMIT = 2 << 20;
    private static final int HEADER_OVER_LIMIT = 256 << 10;
    private static final Pattern SAMPLE =
            Pattern.compile("[a-z_]+(\\{[a-z_]+=\"[^\"]*\"(,[a-z_]+=\"[^\"]*\")*})? \\S+");
    private static final Set<String> THREADS_OF_JVM_AND_LIBRARIES = Set.of(
            "java",
            "VM Thread",
            "VM Periodic Tas",
            "Reference Handl",
            "Finalizer",
            "Signal Dispatch",
            "Service Thread",
            "Monitor Deflati",
            "C1 CompilerThre",
            "Sweeper thread",
            "Notification Th",
            "Common-Cleaner",
            "Attach Listener",
            "AsyncAppender-W",
            "prometheus-metr");

    private static Deployment deployment;
    private static List<HostPlan> hosts;

    @BeforeAll
    static void start() throws IOException {
        deployment = Deployed.start(Plans.small("path", 3, 1), Wiring.DIRECT);
        hosts = deployment.plan().hosts();
    }

    @AfterAll
    static void stop() {
        deployment.close();
    }

    @Test
    void should_answer_from_one_owner_when_any_node_is_asked() throws IOException {
        for (int i = 0; i < KEYS; i++) {
            String key = "key-" + i;
            Set<String> servers = new TreeSet<>();
            for (HostPlan host : hosts) {
                HttpResponse<byte[]> answer = Deployed.ask(host, key);
                assertThat(Deployed.header(answer, "Verbenamast-Outcome")).isEqualTo("answered");
                assertThat(Deployed.text(answer)).isEqualTo("value of /items/" + key);
                servers.add(Deployed.header(answer, "Served-By"));
            }
            assertThat(servers).as(key).hasSize(1);
        }
    }

    @Test
    void should_refuse_as_not_run_when_the_service_is_unknown() throws IOException {
        HttpResponse<byte[]> answer = Http.send(Http.to(hosts.get(0).callers(), "/nothing/items/1"));
        shouldBeRefused(answer, 404, "UNKNOWN_SERVICE");
    }

    @Test
    void should_refuse_as_not_run_when_the_key_is_missing() throws IOException {
        HttpResponse<byte[]> answer = Http.send(Http.to(hosts.get(0).callers(), Deployed.pathOf("1")));
        shouldBeRefused(answer, 400, "MISSING_KEY");
    }

    @Test
    void should_refuse_as_not_run_when_the_body_is_too_long() throws IOException {
        HttpRequest.BodyPublisher body = HttpRequest.BodyPublishers.ofByteArray(new byte[BODY_OVER_LIMIT]);
        HttpResponse<byte[]> answer = Http.send(Http.to(hosts.get(0).callers(), Deployed.pathOf("1"))
                .header("Verbenamast-Key", "1")
                .PUT(body));
        shouldBeRefused(answer, 413, "BODY_TOO_LARGE");
        shouldServe();
    }

    @Test
    void should_refuse_when_a_header_is_too_long() throws IOException {
        HttpResponse<byte[]> answer = Http.send(Http.to(hosts.get(0).callers(), Deployed.pathOf("1"))
                .header("Verbenamast-Key", "1")
                .header("Note", "x".repeat(HEADER_OVER_LIMIT)));
        assertThat(answer.statusCode()).isBetween(400, 499);
        shouldServe();
    }

    private static void shouldBeRefused(HttpResponse<byte[]> answer, int status, String reason) {
        assertThat(answer.statusCode()).isEqualTo(status);
        assertThat(Deployed.header(answer, "Verbenamast-Outcome")).isEqualTo("not-run");
        assertThat(Deployed.header(answer, "Verbenamast-Reason")).isEqualTo(reason);
    }

    private static void shouldServe() throws IOException {
        for (HostPlan host : hosts) {
            assertThat(Deployed.ask(host, "key-1").statusCode()).isEqualTo(200);
        }
    }

    @Test
    void should_write_samples_in_the_text_format_when_metrics_are_read() throws IOException {
        List<String> samples = Deployed.metrics(hosts.get(0))
                .lines()
                .filter(line -> !line.startsWith("#"))
                .toList();
        assertThat(samples).isNotEmpty().allMatch(line -> SAMPLE.matcher(line).matches());
    }

    @Test
    void should_run_no_thread_beside_the_loop_when_a_node_serves() throws IOException {
        for (HostPlan host : hosts) {
            assertThat(ProcessSample.of(deployment.node(host)).threads()).isSubsetOf(THREADS_OF_JVM_AND_LIBRARIES);
        }
    }
}
