package org.verbenamast.standins.server;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import org.verbenamast.http.HttpClients;

/** Tells the node beside a backend server, again and again, that it is there. Its load report is late. */
final class Announcer {

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final long EVERY_MILLIS = 200;

    private final Eventloop eventloop;
    private final ServerOptions options;
    private final String start;
    private final HttpClient http;
    private int runningBefore;

    Announcer(Eventloop eventloop, ServerOptions options, String start) {
        this.eventloop = eventloop;
        this.options = options;
        this.start = start;
        this.http = HttpClients.create(eventloop, MAX_BODY_BYTES);
    }

    void run(IntSupplier running, BooleanSupplier draining) {
        String body =
                "{\"service\":\"%s\",\"address\":\"%s\",\"start\":\"%s\",\"slots\":%d,\"running\":%d,\"draining\":%s}"
                        .formatted(
                                options.service(),
                                options.listen(),
                                start,
                                options.slots(),
                                runningBefore,
                                draining.getAsBoolean());
        runningBefore = running.getAsInt();
        http.request(HttpRequest.post("http://" + options.node() + "/v1/announce")
                        .withBody(body)
                        .build())
                .then(response -> response.loadBody())
                .whenResult(answer -> answer.recycle());
        eventloop.delay(EVERY_MILLIS, () -> run(running, draining));
    }
}
