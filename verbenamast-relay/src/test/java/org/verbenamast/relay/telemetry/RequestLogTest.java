package org.verbenamast.relay.telemetry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Supplier;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.logstash.logback.encoder.LogstashEncoder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

class RequestLogTest {

    private static final int IDS = 6_400;
    private static final Supplier<Object[]> NO_INPUTS = () -> new Object[0];

    private final Logger logger = (Logger) LoggerFactory.getLogger(RequestLog.class);
    private final ListAppender<ILoggingEvent> lines = new ListAppender<>();
    private final LogstashEncoder encoder = new LogstashEncoder();

    @BeforeEach
    void start() {
        lines.start();
        logger.addAppender(lines);
        encoder.setContext((LoggerContext) LoggerFactory.getILoggerFactory());
        encoder.start();
    }

    @AfterEach
    void stop() {
        logger.detachAppender(lines);
        encoder.stop();
    }

    private final RequestLog entry = new RequestLog(Hop.ENTRY, new RequestCounts());
    private final RequestLog gate = new RequestLog(Hop.GATE, new RequestCounts());

    private String onlyLine() {
        assertThat(lines.list).hasSize(1);
        return new String(encoder.encode(lines.list.get(0)), StandardCharsets.UTF_8);
    }

    @Test
    void should_log_the_inputs_of_the_decision_as_fields_when_a_request_is_refused() throws IOException {
        // when
        RequestEnd end = new RequestEnd("refused", "FULL", "id-1", "items", 2_000_000);
        gate.recordEnd(end, () -> new Object[] {LogField.QUEUED.of(7), LogField.SERVICE_TIME.of(150)});

        // then
        JsonNode line = new ObjectMapper().readTree(onlyLine());
        assertThat(line.get("hop").asText()).isEqualTo("gate");
        assertThat(line.get("reason").asText()).isEqualTo("FULL");
        assertThat(line.get("request").asText()).isEqualTo("id-1");
        assertThat(line.get("elapsedMillis").asInt()).isEqualTo(2);
        assertThat(line.get("queued").asInt()).isEqualTo(7);
        assertThat(line.get("serviceMillis").asInt()).isEqualTo(150);
    }

    @Test
    void should_log_one_line_of_json_when_an_id_is_long_and_has_quotes_and_control_characters() throws IOException {
        // given
        String id = "a\"b\\c\r\n\t\u0000\u001b" + "x".repeat(16 * 1024);

        // when
        entry.recordEnd(new RequestEnd("refused", "NO_ROUTE", id, "", 0), () -> new Object[] {LogField.TARGET.of(id)});

        // then
        String line = onlyLine();
        assertThat(line.strip()).doesNotContain("\n");
        JsonNode json = new ObjectMapper().readTree(line);
        assertThat(json.get("request").asText())
                .startsWith("a\"b\\c")
                .endsWith("...")
                .hasSize(203);
        assertThat(json.get("target").asText()).hasSize(203);
    }

    @Test
    void should_log_the_same_sample_of_successes_on_each_hop_when_many_requests_are_served() {
        // when
        for (int i = 0; i < IDS; i++) {
            entry.recordEnd(RequestEnd.answered("id-" + i, "items", 1), NO_INPUTS);
            gate.recordEnd(RequestEnd.answered("id-" + i, "items", 1), NO_INPUTS);
        }

        // then
        assertThat(lines.list.size()).isBetween(2 * IDS / 128, 2 * IDS / 32).isEven();
        for (int i = 0; i < lines.list.size(); i += 2) {
            Object entry = lines.list.get(i).getArgumentArray()[3];
            assertThat(lines.list.get(i + 1).getArgumentArray()[3]).hasToString(entry.toString());
        }
    }

    @ParameterizedTest
    @EnumSource
    void should_be_documented_on_the_operators_page_when_a_field_may_be_logged(LogField field) throws IOException {
        String page = Files.readString(Path.of("..", "docs", "OPERATIONS.md"));
        assertThat(page).contains("`" + field.text() + "`");
    }
}
