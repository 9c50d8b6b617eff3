package org.verbenamast.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.TreeMap;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import org.verbenamast.core.model.Address;
import org.verbenamast.http.HttpClients;

/** Sends requests at a fixed rate, whether or not earlier ones are answered, and measures them. */
public final class LoadRunner {

    private static final HttpHeader KEY = HttpHeaders.of("Verbenamast-Key");
    private static final HttpHeader OUTCOME = HttpHeaders.of("Verbenamast-Outcome");
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long MILLIS_AFTER_LAST = 6_000;
    private static final int MAX_BODY_BYTES = 64 << 20;
    private static final int NO_STATUS = 0;

    private final LoadPlan plan;
    private final Random random;
    private final Map<String, LoadTally> services = new TreeMap<>();
    private final LoadTally all = new LoadTally();
    private final Eventloop eventloop;
    private final HttpClient http;
    private long startNanos;
    private long sent;
    private long ended;

    private LoadRunner(LoadPlan plan) {
        this.plan = plan;
        this.random = new Random(plan.seed());
        this.eventloop = Eventloop.builder().withCurrentThread().build();
        this.http = HttpClients.create(eventloop, MAX_BODY_BYTES);
    }

    /**
     * Sends a load and waits for its end, on the calling thread.
     *
     * @param plan what to send
     * @return what came of it
     */
    public static LoadReport run(LoadPlan plan) {
        return new LoadRunner(Objects.requireNonNull(plan, "plan")).run();
    }

    private LoadReport run() {
        startNanos = System.nanoTime();
        eventloop.post(this::sendDue);
        eventloop.run();
        List<LoadFigures> figures = new ArrayList<>();
        services.forEach((name, tally) -> figures.add(tally.figures(name)));
        return new LoadReport(all.figures("all"), figures);
    }

    private void sendDue() {
        while (sent < plan.requests() && dueOf(sent) <= System.nanoTime()) {
            send(dueOf(sent));
        }
        if (sent < plan.requests()) {
            eventloop.delay(1, this::sendDue);
        } else {
            eventloop.delayBackground(MILLIS_AFTER_LAST, eventloop::breakEventloop);
            finishIfDone();
        }
    }

    private long dueOf(long number) {
        return startNanos + number * NANOS_PER_SECOND / plan.rate();
    }

    private void send(long due) {
        Address target = plan.targets().get((int) (sent % plan.targets().size()));
        String path = plan.paths().get(random.nextInt(plan.paths().size()));
        int key = random.nextInt(plan.keys());
        LoadTally service = services.computeIfAbsent(serviceOf(path), name -> new LoadTally());
        sent++;
        all.sent();
        service.sent();
        HttpRequest request = HttpRequest.get("http://" + target + path.replace("%d", Integer.toString(key)))
                .withHeader(KEY, "key-" + key)
                .build();
        http.request(request)
                .then(response -> response.loadBody().map(body -> response))
                .whenComplete((response, e) -> ended(service, due, e == null ? response : null));
    }

    private static String serviceOf(String path) {
        int end = path.indexOf('/', 1);
        return end < 0 ? path.substring(1) : path.substring(1, end);
    }

    private void ended(LoadTally service, long due, HttpResponse response) {
        long nanos = System.nanoTime() - due;
        String header = response == null ? null : response.getHeader(OUTCOME);
        int status = response == null ? NO_STATUS : response.getCode();
        LoadOutcome outcome =
                response == null ? LoadOutcome.FAILED : plan.kind().outcome(status, header);
        all.ended(outcome, nanos);
        service.ended(outcome, nanos);
        ended++;
        finishIfDone();
    }

    private void finishIfDone() {
        if (ended == plan.requests()) {
            // The loop ends by itself once the connections are closed.
            eventloop.post(http::stop);
        }
    }
}
