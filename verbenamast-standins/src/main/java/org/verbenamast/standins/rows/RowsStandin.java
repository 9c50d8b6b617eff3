package org.verbenamast.standins.rows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.verbenamast.standins.Addresses;

/** Stands in for the users' store of rows: reads, transactions under conditions, and calls that wait for changes. */
public final class RowsStandin {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int CONFLICT = 412;
    private static final int GONE = 410;
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final Eventloop eventloop;
    private final RowsOptions options;
    private final RowTables tables = new RowTables();
    private long era;
    private boolean silent;

    /**
     * Makes a stand-in that does not listen yet.
     *
     * @param eventloop the one event loop of the process
     * @param options the command line
     */
    public RowsStandin(Eventloop eventloop, RowsOptions options) {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
        this.options = Objects.requireNonNull(options, "options");
    }

    /**
     * Writes the manifest and listens.
     *
     * @throws IOException where the manifest can't be read or the address can't be used
     */
    public void listen() throws IOException {
        byte[] manifest = Files.readAllBytes(Path.of(options.manifest()));
        ObjectNode call = MAPPER.createObjectNode();
        call.putArray("puts")
                .addObject()
                .put("table", "op")
                .put("key", "config")
                .put("value", Base64.getEncoder().encodeToString(manifest));
        tables.commit(call, MAPPER.createObjectNode());
        RoutingServlet routes = RoutingServlet.builder(eventloop)
                .with(HttpMethod.POST, "/admin/drill", this::drill)
                .with(HttpMethod.POST, "/-/rows-tx", unlessSilent(this::commit))
                .with(
                        HttpMethod.GET,
                        "/-/rows-get",
                        unlessSilent(request ->
                                json(tables.read(request.getQueryParameter("table"), text(request, "from"), (int)
                                        whole(request, "limit")))))
                .with(HttpMethod.GET, "/-/rows-feed", unlessSilent(this::follow))
                .build();
        HttpServer.builder(eventloop, routes)
                .withListenAddress(Addresses.parse(options.listen()))
                .build()
                .listen();
    }

    /** Falls silent for a time and comes back without the last transactions, in a new era. */
    private Promise<HttpResponse> drill(HttpRequest request) {
        silent = true;
        long versions = whole(request, "versions");
        eventloop.delayBackground(whole(request, "silentMs"), () -> {
            tables.takeBack(versions);
            era++;
            silent = false;
        });
        return HttpResponse.ok200().toPromise();
    }

    /** Answers unless the store is silent at that time or has been since. */
    private AsyncServlet unlessSilent(AsyncServlet servlet) {
        return request -> {
            if (silent) {
                return new SettablePromise<>();
            }
            long asked = era;
            return servlet.serve(request)
                    .then(response -> silent || era != asked ? new SettablePromise<>() : Promise.of(response));
        };
    }

    private HttpResponse.Builder answer(int code) {
        return HttpResponse.ofCode(code).withHeader(HttpHeaders.of("Store-Era"), Long.toString(era));
    }

    private static String text(HttpRequest request, String name) {
        String value = request.getQueryParameter(name);
        return value == null ? "" : value;
    }

    private static long whole(HttpRequest request, String name) {
        String value = text(request, name);
        return value.isEmpty() ? 0 : Long.parseLong(value);
    }

    private Promise<HttpResponse> commit(HttpRequest request) {
        return request.loadBody(MAX_BODY_BYTES).then(body -> {
            JsonNode call = MAPPER.readTree(body.getArray());
            ObjectNode answer = MAPPER.createObjectNode();
            boolean committed = tables.commit(call, answer);
            return answer(committed ? OK : CONFLICT).withJson(answer.toString()).toPromise();
        });
    }

    private Promise<HttpResponse> follow(HttpRequest request) {
        String table = request.getQueryParameter("table");
        long after = whole(request, "after");
        if (!tables.has(after)) {
            return answer(GONE).toPromise();
        }
        SettablePromise<Void> changed = new SettablePromise<>();
        eventloop.delayBackground(whole(request, "waitMs"), () -> changed.trySet(null));
        awaitChange(table, after, changed);
        return changed.then(() -> json(tables.changes(table, after)));
    }

    private void awaitChange(String table, long after, SettablePromise<Void> changed) {
        if (changed.isComplete()) {
            return;
        }
        if (tables.changes(table, after).path("rows").isEmpty()) {
            tables.whenChanged(() -> awaitChange(table, after, changed));
        } else {
            changed.trySet(null);
        }
    }

    private Promise<HttpResponse> json(ObjectNode node) {
        return answer(OK).withJson(node.toString()).toPromise();
    }
}
