package org.verbenamast.standins.server;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMessage;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import org.verbenamast.standins.Addresses;

/** Stands in for a backend server: keeps state for each key, checks epochs, and records what it ran. */
public final class ServerStandin {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int UNAVAILABLE = 503;
    private static final int CRASHED = 70;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final int MAX_BODY_BYTES = 64 << 20;

    private final Eventloop eventloop;
    private final ServerOptions options;
    private final HttpServer server;
    private final String start = UUID.randomUUID().toString();
    private final RunLog runs;
    private final Map<String, byte[]> values = new HashMap<>();
    private final Map<Integer, Long> epochs = new HashMap<>();
    private int running;
    private int warmth;
    private int extraMillis;
    private boolean draining;
    private long bookings;

    /**
     * Makes a stand-in that does not listen yet.
     *
     * @param eventloop the one event loop of the process
     * @param options the options
     * @throws IOException where the file for the record can't be opened
     */
    public ServerStandin(Eventloop eventloop, ServerOptions options) throws IOException {
        this.eventloop = eventloop;
        this.options = options;
        this.runs = new RunLog(options.record());
        RoutingServlet routes = RoutingServlet.builder(eventloop)
                .with(HttpMethod.GET, "/control/record", request -> json(runs.runs()))
                .with(HttpMethod.POST, "/control/cancel", request -> json(List.of()))
                .with(HttpMethod.POST, "/control/drain", request -> drain())
                .with(HttpMethod.POST, "/control/cold", request -> chill())
                .with(HttpMethod.POST, "/control/slow", this::slow)
                .with("/*", this::serve)
                .build();
        this.server = HttpServer.builder(eventloop, routes)
                .withListenAddress(Addresses.parse(options.listen()))
                .build();
    }

    /**
     * Starts to listen and to announce itself.
     *
     * @throws IOException where the address can't be used
     */
    public void listen() throws IOException {
        server.listen();
        Announcer announcer = new Announcer(eventloop, options, start);
        announcer.run(() -> running, () -> draining);
    }

    private Promise<HttpResponse> drain() {
        draining = true;
        return json(List.of());
    }

    private Promise<HttpResponse> chill() {
        warmth = 0;
        return json(List.of());
    }

    private Promise<HttpResponse> slow(HttpRequest request) {
        extraMillis = Integer.parseInt(request.getQueryParameter("millis"));
        return json(List.of());
    }

    private Promise<HttpResponse> serve(HttpRequest request) {
        int slice = (int) number(request, "Verbenamast-Slice", -1);
        long epoch = number(request, "Verbenamast-Epoch", 0);
        if (options.fenced() && slice >= 0 && epoch < epochs.getOrDefault(slice, 0L)) {
            return refuse(request, "fenced");
        }
        if (running >= options.slots()) {
            return refuse(request, "shed");
        }
        if (draining) {
            return refuse(request, "drained");
        }
        epochs.put(slice, epoch);
        running++;
        record(request, "ran");
        return request.loadBody(MAX_BODY_BYTES)
                .then(body -> Promises.delay(serviceMillis(), body.getArray()))
                .map(body -> answer(request, body))
                .whenComplete(() -> finished(request));
    }

    private void finished(HttpRequest request) {
        record(request, "ended");
        running--;
        warmth++;
    }

    private long serviceMillis() {
        boolean cold = options.coldSlots() > 0 && warmth < options.warmAfter();
        int overload = cold ? Math.max(0, running - options.coldSlots()) : 0;
        return (long) (options.serviceMillis() + extraMillis) * (1 + overload);
    }

    private Promise<HttpResponse> refuse(HttpRequest request, String kind) {
        record(request, kind);
        return HttpResponse.ofCode(UNAVAILABLE)
                .withHeader(HttpHeaders.of("Verbenamast-Not-Run"), kind)
                .toPromise();
    }

    private void record(HttpRequest request, String kind) {
        runs.add(new Run(
                text(request, "Verbenamast-Request-Id"),
                text(request, "Verbenamast-Key"),
                (int) number(request, "Verbenamast-Slice", -1),
                number(request, "Verbenamast-Epoch", 0),
                request.getMethod().name(),
                request.getPathAndQuery(),
                text(request, "Idempotency-Key"),
                System.nanoTime() / NANOS_PER_MICRO,
                running,
                kind));
    }

    private HttpResponse answer(HttpRequest request, byte[] body) {
        String path = request.getPath();
        if (path.startsWith("/crash")) {
            System.exit(CRASHED);
        }
        if (request.getMethod() == HttpMethod.POST) {
            return HttpResponse.ok200().withPlainText("booking " + ++bookings).build();
        }
        if (request.getMethod() == HttpMethod.PUT) {
            values.put(path, body);
        }
        String size = request.getQueryParameter("bytes");
        byte[] value = size != null
                ? Patterns.of(path, Integer.parseInt(size))
                : values.getOrDefault(path, ("value of " + path).getBytes(StandardCharsets.UTF_8));
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.of("Served-By"), options.listen())
                .withBody(value)
                .build();
    }

    private static String text(HttpMessage message, String name) {
        String value = message.getHeader(HttpHeaders.of(name));
        return value == null ? "" : value;
    }

    private static long number(HttpMessage message, String name, long fallback) {
        String value = message.getHeader(HttpHeaders.of(name));
        return value == null ? fallback : Long.parseLong(value);
    }

    private static Promise<HttpResponse> json(Object value) {
        try {
            return HttpResponse.ok200()
                    .withJson(MAPPER.writeValueAsString(value))
                    .toPromise();
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record should always be writable", e);
        }
    }
}
