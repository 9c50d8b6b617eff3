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
import org.verbenamast.standins.server.Patterns;
import org.verbenamast.standins.server.Run;
import org.verbenamast.standins.server.RunLog;

/** Stands in for a backend server: it sends heartbeats, holds the keys that it is granted, and serves only those. */
public final class BeatsStandin {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final HttpHeader ATTEMPT_ID = HttpHeaders.of("X-Verbenamast-Attempt-Id");
    private static final HttpHeader KEY = HttpHeaders.of("X-Verbenamast-Shard-Key");
    private static final HttpHeader TARGET = HttpHeaders.of("X-Verbenamast-Target-Instance");
    private static final HttpHeader SIGNATURE = HttpHeaders.of("X-Verbenamast-Response-Signature");
    private static final HttpHeader NOT_RUN = HttpHeaders.of("X-Verbenamast-Not-Executed");
    private static final String SILENCE_PATH = "/admin/silence";
    private static final int MISDIRECTED = 421;
    private static final long NOT_HELD = -1;
    private static final long NANOS_PER_MICRO = 1_000;
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
    private final RunLog log;
    private int running;
    private long runs;
    private boolean silent;

    /**
     * Makes a stand-in that does not listen yet.
     *
     * @param eventloop the one event loop of the process
     * @param options the command line
     * @throws IOException where runs can't be recorded
     */
    public BeatsStandin(Eventloop eventloop, BeatsOptions options) throws IOException {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
        this.options = Objects.requireNonNull(options, "options");
        this.client = HttpClients.create(eventloop, MAX_BODY_BYTES);
        this.log = new RunLog(options.record());
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
        if (request.getPath().equals(SILENCE_PATH)) {
            return silence().toPromise();
        }
        String id = request.getHeader(ATTEMPT_ID);
        String key = request.getHeader(KEY);
        boolean here = options.id().equals(request.getHeader(TARGET));
        long epoch = key == null ? 0 : epochOf(Integer.parseInt(key));
        if (!here || epoch == NOT_HELD) {
            return HttpResponse.ofCode(MISDIRECTED)
                    .withHeader(ATTEMPT_ID, id)
                    .withHeader(NOT_RUN, "1")
                    .toPromise();
        }
        return request.loadBody(MAX_BODY_BYTES)
                .then(body -> run(request, epoch, body.getArray()))
                .then(body -> HttpResponse.ok200()
                        .withHeader(ATTEMPT_ID, id)
                        .withHeader(SIGNATURE, options.id())
                        .withBody(body)
                        .toPromise());
    }

    /** Runs a request: the answer is a pattern where a number of bytes is asked for, or else what was sent. */
    private Promise<byte[]> run(HttpRequest request, long epoch, byte[] body) {
        String run = options.id() + '-' + startedAt + '-' + ++runs;
        running++;
        record(request, run, epoch, Run.RAN);
        String bytes = request.getQueryParameter("bytes");
        String echo = options.id() + ' ' + request.getRelativePath() + ' ' + new String(body, StandardCharsets.UTF_8);
        byte[] answer = bytes == null
                ? echo.getBytes(StandardCharsets.UTF_8)
                : Patterns.of(request.getPath(), Integer.parseInt(bytes));
        return Promises.delay(options.workMillis(), answer).whenComplete(() -> {
            running--;
            record(request, run, epoch, Run.ENDED);
        });
    }

    private void record(HttpRequest request, String run, long epoch, String kind) {
        String key = request.getHeader(KEY);
        log.add(new Run(
                run,
                key == null ? "" : key,
                key == null ? -1 : Integer.parseInt(key),
                epoch,
                request.getMethod().name(),
                request.getPath(),
                request.getHeader(ATTEMPT_ID),
                System.nanoTime() / NANOS_PER_MICRO,
                running,
                kind));
    }

    /** Returns the epoch under which a key is held. */
    private long epochOf(int key) {
        if (System.nanoTime() > heldUntil) {
            return NOT_HELD;
        }
        for (JsonNode range : held) {
            if (key >= range.get(0).asInt() && key <= range.get(1).asInt()) {
                return range.get(2).asLong();
            }
        }
        return NOT_HELD;
    }

    /** Ends the heartbeats; the answer is the next one, which the caller may deliver late. */
    private HttpResponse.Builder silence() {
        silent = true;
        return HttpResponse.ok200().withJson(nextBeat().toString());
    }

    private void beat() {
        if (silent) {
            return;
        }
        long sentAt = System.nanoTime();
        client.request(HttpRequest.put("http://" + options.heartbeats() + "/-/instances/" + options.id())
                        .withBody(nextBeat().toString().getBytes(StandardCharsets.UTF_8))
                        .build())
                .then(answer -> answer.loadBody(MAX_BODY_BYTES))
                .whenResult(body -> take(MAPPER.readTree(body.getArray()), sentAt))
                .whenComplete(() -> eventloop.delayBackground(BEAT_MILLIS, this::beat));
    }

    private ObjectNode nextBeat() {
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
        beat.putArray("freed");
        return beat;
    }

    private void take(JsonNode answer, long sentAt) {
        if (answer.has("holds")) {
            held = answer.get("holds");
            heldUntil = sentAt + answer.get("holdMs").asLong() * 1_000_000;
        }
    }
}
