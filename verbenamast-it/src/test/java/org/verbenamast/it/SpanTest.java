package org.verbenamast.it;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.DeploymentPlan.HostPlan;
import org.verbenamast.it.deploy.Http;
import org.verbenamast.it.deploy.Plans;
import org.verbenamast.it.deploy.Wiring;

import static org.assertj.core.api.Assertions.assertThat;

class SpanTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TRACE = "4bf92f3577b34da6a3ce929d0e0e4736";
    private static final String CALLER_SPAN = "00f067aa0ba902b7";

    private record SpanLine(String name, String span, String parent) {}

    @Test
    void should_chain_a_span_per_hop_when_the_caller_traces() throws IOException {
        try (Deployment deployment = Deployed.start(Plans.small("spans", 2, 1), Wiring.DIRECT)) {
            HostPlan entry = deployment.plan().hosts().get(2);
            Http.send(Http.to(entry.callers(), Deployed.pathOf("key-1"))
                    .header("Verbenamast-Key", "key-1")
                    .header("traceparent", "00-" + TRACE + "-" + CALLER_SPAN + "-01"));
            Deployment.await(
                    "four spans are logged",
                    Deployed.HUNG_MILLIS,
                    () -> spans(deployment).size() >= 4);

            List<SpanLine> chain = chain(spans(deployment));

            assertThat(chain).extracting(SpanLine::name).containsExactly("caller", "forward", "serve", "backend");
        }
    }

    private static List<SpanLine> chain(List<SpanLine> spans) {
        List<SpanLine> chain = new ArrayList<>();
        String parent = CALLER_SPAN;
        for (int i = 0; i < spans.size(); i++) {
            String wanted = parent;
            List<SpanLine> next =
                    spans.stream().filter(span -> span.parent().equals(wanted)).toList();
            assertThat(next).as("spans under " + wanted).hasSize(1);
            chain.add(next.get(0));
            parent = next.get(0).span();
        }
        return chain;
    }

    private static List<SpanLine> spans(Deployment deployment) throws IOException {
        List<SpanLine> spans = new ArrayList<>();
        for (HostPlan host : deployment.plan().hosts()) {
            Path log = deployment.folder().resolve("node-" + host.name() + ".log");
            for (String line : Files.readAllLines(log)) {
                JsonNode message = MAPPER.readTree(line).path("message");
                if (message.asText().contains(TRACE)) {
                    spans.addAll(spansOf(MAPPER.readTree(message.asText())));
                }
            }
        }
        return spans;
    }

    private static List<SpanLine> spansOf(JsonNode exported) {
        Set<JsonNode> spans = exported.findValues("spans").stream().collect(Collectors.toSet());
        List<SpanLine> lines = new ArrayList<>();
        spans.forEach(list -> list.forEach(span -> lines.add(new SpanLine(
                span.path("name").asText(),
                span.path("spanId").asText(),
                span.path("parentSpanId").asText()))));
        return lines;
    }
}
