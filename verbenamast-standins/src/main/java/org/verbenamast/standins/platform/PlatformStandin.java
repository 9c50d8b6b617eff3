package org.verbenamast.standins.platform;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import org.verbenamast.standins.Addresses;

/** Stands in for the platform: a transactional table service and an object store, in memory, with faults on demand. */
public final class PlatformStandin {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;
    private static final int MAX_BODY_BYTES = 64 << 20;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Eventloop eventloop;
    private final HttpServer server;
    private final Tables tables = new Tables();
    private final Map<String, byte[]> objects = new HashMap<>();
    private PlatformFaults faults = PlatformFaults.NONE;
    private Counts counts = new Counts(0, 0, 0);
    private long second;
    private int readsThisSecond;
    private int writesThisSecond;

    /**
     * How much was asked since the start.
     *
     * @param reads reads that were taken
     * @param writes transactions that were taken
     * @param refused requests that were refused
     */
    record Counts(long reads, long writes, long refused) {}

    /**
     * Makes a stand-in that does not listen yet.
     *
     * @param eventloop the one event loop of the process
     * @param options the options
     */
    public PlatformStandin(Eventloop eventloop, PlatformOptions options) {
        this.eventloop = eventloop;
        RoutingServlet routes = RoutingServlet.builder(eventloop)
                .with(HttpMethod.GET, "/v1/tables/:table", read(this::scan))
                .with(HttpMethod.GET, "/v1/tables/:table/:id", read(this::readRow))
                .with(HttpMethod.POST, "/v1/transactions", this::transact)
                .with(HttpMethod.PUT, "/v1/objects/:name", this::putObject)
                .with(HttpMethod.GET, "/v1/objects/:name", read(this::readObject))
                .with(HttpMethod.POST, "/admin/faults", this::setFaults)
                .with(HttpMethod.GET, "/admin/counts", request -> json(OK, counts)
                        .toPromise())
                .build();
        this.server = HttpServer.builder(eventloop, routes)
                .withListenAddress(Addresses.parse(options.listen()))
                .build();
    }

    /**
     * Starts to listen.
     *
     * @throws IOException where the address can't be used
     */
    public void listen() throws IOException {
        server.listen();
    }

    private AsyncServlet read(AsyncServlet reader) {
        return request -> {
            roll();
            readsThisSecond++;
            if (refuses(readsThisSecond, faults.readsPerSecond())) {
                return refused();
            }
            counts = new Counts(counts.reads() + 1, counts.writes(), counts.refused());
            return late(reader.serve(request));
        };
    }

    private void roll() {
        long now = eventloop.currentTimeMillis() / MILLIS_PER_SECOND;
        if (now != second) {
            second = now;
            readsThisSecond = 0;
            writesThisSecond = 0;
        }
    }

    private boolean refuses(int used, int limit) {
        return faults.outage() || (limit > 0 && used > limit);
    }

    private Promise<HttpResponse> refused() {
        counts = new Counts(counts.reads(), counts.writes(), counts.refused() + 1);
        return HttpResponse.ofCode(faults.outage() ? UNAVAILABLE : TOO_MANY).toPromise();
    }

    private Promise<HttpResponse> late(Promise<HttpResponse> response) {
        return faults.delayMillis() == 0
                ? response
                : response.then(ready -> Promises.delay(faults.delayMillis(), ready));
    }

    private Promise<HttpResponse> scan(HttpRequest request) {
        return rows(OK, tables.scan(request.getPathParameter("table"))).toPromise();
    }

    private Promise<HttpResponse> readRow(HttpRequest request) {
        return rows(OK, tables.read(request.getPathParameter("table"), request.getPathParameter("id")))
                .toPromise();
    }

    private Promise<HttpResponse> transact(HttpRequest request) {
        roll();
        writesThisSecond++;
        if (refuses(writesThisSecond, faults.writesPerSecond())) {
            return refused();
        }
        counts = new Counts(counts.reads(), counts.writes() + 1, counts.refused());
        return request.loadBody(MAX_BODY_BYTES).then(body -> late(commit(body.getArray())));
    }

    private Promise<HttpResponse> commit(byte[] body) throws IOException {
        JsonNode writes = MAPPER.readTree(body).get("writes");
        Tables.Result result = tables.commit(MAPPER.convertValue(writes, new TypeReference<List<Tables.Write>>() {}));
        if (faults.loseReplies() > 0) {
            faults = faults.withReplyLost();
            return new SettablePromise<>();
        }
        HttpResponse.Builder response = rows(result.committed() ? OK : CONFLICT, result.rows());
        if (result.committed()) {
            response.withHeader(HttpHeaders.of("Committed"), "true");
        }
        return response.toPromise();
    }

    private Promise<HttpResponse> putObject(HttpRequest request) {
        if (faults.outage()) {
            return refused();
        }
        String name = request.getPathParameter("name");
        return request.loadBody(MAX_BODY_BYTES).then(body -> {
            objects.put(name, body.getArray());
            return late(HttpResponse.ofCode(OK).toPromise());
        });
    }

    private Promise<HttpResponse> readObject(HttpRequest request) {
        byte[] object = objects.get(request.getPathParameter("name"));
        return object == null
                ? HttpResponse.ofCode(NOT_FOUND).toPromise()
                : HttpResponse.ofCode(OK).withBody(object).toPromise();
    }

    private Promise<HttpResponse> setFaults(HttpRequest request) {
        return request.loadBody().then(body -> {
            faults = MAPPER.readValue(body.getArray(), PlatformFaults.class);
            return json(OK, faults).toPromise();
        });
    }

    private record Rows(List<Tables.StoredRow> rows) {}

    private static HttpResponse.Builder rows(int code, List<Tables.StoredRow> rows) {
        return json(code, new Rows(rows));
    }

    private static HttpResponse.Builder json(int code, Object value) {
        try {
            return HttpResponse.ofCode(code).withJson(MAPPER.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record should always be writable", e);
        }
    }
}
