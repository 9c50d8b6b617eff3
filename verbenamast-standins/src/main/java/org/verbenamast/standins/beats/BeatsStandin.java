package org.verbenamast.standins.beats;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import org.verbenamast.http.HttpClients;
import org.verbenamast.standins.Addresses;

/** Stands in for a backend server: it sends heartbeats, holds the keys that it is granted, and serves only those. */
public final class BeatsStandin {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final HttpHeader ATTEMPT_ID = HttpHeaders.of("X-Verbenamast-Attempt-Id");
    private static final HttpHeader KEY = HttpHeaders.of("X-Verbenamast-Shard-Key");
    private static final HttpHeader TARGET = HttpHeaders.of("X-Verbenamast-Target-Instance");
    private static final HttpHeader SIGNATURE = HttpHeaders.of("X-Verbenamast-Response-Signature");
    private static final HttpHeader NOT_RUN = HttpHeaders.of("X-Verbenamast-Not-Executed");
    private static final int MISDIRECTED = 421;
    private static final int SLOTS = 9;
    private static final long BEAT_MILLIS = 500;
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final Eventloop eventloop;
    private final BeatsOptions options;
    private final HttpClient client;
    private final long startedAt = System.currentTimeMillis();
    private JsonNode held = MAPPER.createArrayNode();
    private long heldUntil;
    private long sequence;

    /**
     * Makes a stand-in that does not listen yet.
     *
     * @param eventloop the one event loop of the process
     * @param options the command line
     */
    public BeatsStandin(Eventloop eventloop, BeatsOptions options) {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
        this.options = Objects.requireNonNull(options, "options");
        this.client = HttpClients.create(eventloop, MAX_BODY_BYTES);
    }

    /**
     * Listens and sends heartbeats.
     *
     * @throws IOException where the address can't be used
     */
    public void listen() throws IOException {
        HttpServer.builder(eventloop, this::serve)
                .withListenAddress(Addresses.parse(options.listen()))
                .build()
                .listen();
        eventloop.post(this::beat);
    }

    private Promise<HttpResponse> serve(HttpRequest request) {
        String id = request.getHeader(ATTEMPT_ID);
        String key = request.getHeader(KEY);
        boolean here = options.id().equals(request.getHeader(TARGET));
        if (!here || key != null && !holds(Integer.parseInt(key))) {
            return HttpResponse.ofCode(MISDIRECTED)
                    .withHeader(ATTEMPT_ID, id)
                    .withHeader(NOT_RUN, "1")
                    .toPromise();
        }
        return request.loadBody(MAX_BODY_BYTES)
                .then(body -> Promises.delay(options.workMillis(), body.getArray()))
                .then(body -> HttpResponse.ok200()
                        .withHeader(ATTEMPT_ID, id)
                        .withHeader(SIGNATURE, options.id())
                        .withPlainText(options.id()
                                + ' '
                                + request.getRelativePath()
                                + ' '
                                + new String(body, StandardCharsets.UTF_8))
                        .toPromise());
    }

    private boolean holds(int key) {
        if (System.nanoTime() > heldUntil) {
            return false;
        }
        for (JsonNode range : held) {
            if (key >= range.get(0).asInt() && key <= range.get(1).asInt()) {
                return true;
            }
        }
        return false;
    }

    private void beat() {
        long sentAt = System.nanoTime();
        ObjectNode beat = MAPPER.createObjectNode()
                .put("service", options.service())
                .put("address", options.listen())
                .put("zone", "-")
                .put("version", "v1")
                .put("slots", SLOTS)
                .put("state", "ready")
                .put("coldLeftMs", 0)
                .put("sequence", ++sequence)
                .put("born", startedAt);
        ArrayNode holds = beat.putArray("holds");
        held.forEach(
                range -> holds.addArray().add(range.get(0)).add(range.get(1)).add(range.get(2)));
        client.request(HttpRequest.put("http://" + options.heartbeats() + "/-/instances/" + options.id())
                        .withBody(beat.toString().getBytes(StandardCharsets.UTF_8))
                        .build())
                .then(answer -> answer.loadBody(MAX_BODY_BYTES))
                .whenResult(body -> take(MAPPER.readTree(body.getArray()), sentAt))
                .whenComplete(() -> eventloop.delayBackground(BEAT_MILLIS, this::beat));
    }

    private void take(JsonNode answer, long sentAt) {
        if (answer.has("holds")) {
            held = answer.get("holds");
            heldUntil = sentAt + answer.get("holdMs").asLong() * 1_000_000;
        }
    }
}
