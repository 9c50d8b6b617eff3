package org.verbenamast.ctl;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;

/**
 * A line of a node's log.
 *
 * @param time when it was written, as in the line
 * @param message what it says to a reader
 * @param request the id of the request that it is about, empty where it is about none
 * @param hop which part of a node wrote it, empty where it is about no request
 * @param outcome what was decided
 * @param reason why
 * @param inputs what decided it, by field
 */
record LogLine(
        String time,
        String message,
        String request,
        String hop,
        String outcome,
        String reason,
        Map<String, String> inputs) {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern RANGE = Pattern.compile("(\\d{1,9})-(\\d{1,9})");

    /** What stands between a server's id and the start of its run. */
    private static final String RUN_MARK = "@";

    private static final Set<String> NO_INPUTS = Set.of(
            "@timestamp",
            "@version",
            "message",
            "logger_name",
            "thread_name",
            "level",
            "level_value",
            "request",
            "hop",
            "outcome",
            "reason");

    /** Copies the inputs. */
    LogLine {
        inputs = Collections.unmodifiableMap(new LinkedHashMap<>(inputs));
    }

    /**
     * Reads a line; what stands before its JSON, such as the name of a node, is left out.
     *
     * @param line the line
     * @return what it tells, or why it can't be read
     */
    static Either<CtlFault, LogLine> parse(String line) {
        int start = line.indexOf('{');
        try {
            JsonNode json = start < 0 ? null : JSON.readTree(line.substring(start));
            if (json == null || !json.isObject()) {
                return Either.left(CtlFault.shouldBeReadable("a line of a log", "it is no JSON object"));
            }
            Map<String, String> inputs = new LinkedHashMap<>();
            for (Map.Entry<String, JsonNode> field : json.properties()) {
                if (!NO_INPUTS.contains(field.getKey())) {
                    inputs.put(field.getKey(), field.getValue().asText());
                }
            }
            return Either.right(new LogLine(
                    text(json, "@timestamp"),
                    text(json, "message"),
                    text(json, "request"),
                    text(json, "hop"),
                    text(json, "outcome"),
                    text(json, "reason"),
                    inputs));
        } catch (JsonProcessingException e) {
            return Either.left(CtlFault.shouldBeReadable("a line of a log", e.getOriginalMessage()));
        }
    }

    private static String text(JsonNode json, String field) {
        return json.path(field).asText("");
    }

    boolean isAbout(String id) {
        return request.equals(id) && !hop.isEmpty();
    }

    /** Tells whether the line says who is to hold a key. */
    boolean isAboutKey(int key) {
        Matcher range = RANGE.matcher(inputs.getOrDefault("keys", ""));
        return range.matches() && Integer.parseInt(range.group(1)) <= key && key <= Integer.parseInt(range.group(2));
    }

    /** Tells whether the line says what became of a backend server, by its id, or by its id and the start of a run. */
    boolean isAboutServer(String server) {
        return hop.isEmpty() && (isRunOf(server, inputs.get("server")) || isRunOf(server, inputs.get("subject")));
    }

    private static boolean isRunOf(String server, String run) {
        return run != null && (run.equals(server) || run.startsWith(server + RUN_MARK));
    }

    /**
     * Returns the line as cells of a table.
     *
     * @return time, hop, outcome, reason and inputs
     */
    List<String> cells() {
        return List.of(time, hop, outcome, reason.isEmpty() ? "-" : reason, pairs());
    }

    /**
     * Returns the line as cells of a time line.
     *
     * @return time, what happened, and inputs
     */
    List<String> moment() {
        return List.of(time, message, pairs());
    }

    private String pairs() {
        List<String> pairs = new ArrayList<>();
        inputs.forEach((name, value) -> pairs.add(name + "=" + value));
        return String.join(" ", pairs);
    }
}
