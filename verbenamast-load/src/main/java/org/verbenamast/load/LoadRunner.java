package org.verbenamast.load;

import java.util.Objects;
import java.util.Random;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import org.HdrHistogram.Histogram;
import org.verbenamast.core.model.Address;
import org.verbenamast.http.HttpClients;

/** Sends requests at a fixed rate, whether or not earlier ones are answered, and measures them. */
public final class LoadRunner {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final long MILLIS_AFTER_LAST = 6_000;
    private static final int MAX_BODY_BYTES = 64 << 20;
    private static final int DIGITS = 3;
    private static final double P50 = 50;
    private static final double P99 = 99;
    private static final double P999 = 99.9;

    private final LoadPlan plan;
    private final Random random;
    private final Histogram latencies = new Histogram(DIGITS);
    private final Eventloop eventloop;
    private final HttpClient http;
    private long startNanos;
    private long sent;
    private long ended;
    private long answered;
    private long notRun;
    private long unknown;
    private long failed;

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
        return new LoadReport(
                sent,
                answered,
                notRun,
                unknown,
                failed + sent - ended,
                latencies.getValueAtPercentile(P50),
                latencies.getValueAtPercentile(P99),
                latencies.getValueAtPercentile(P999),
                latencies.getMaxValue());
    }

    private void sendDue() {
        long total = (long) plan.rate() * plan.seconds();
        while (sent < total && dueOf(sent) <= System.nanoTime()) {
            send(dueOf(sent));
        }
        if (sent < total) {
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
        sent++;
        HttpRequest request = HttpRequest.get("http://" + target + path.replace("%d", Integer.toString(key)))
                .withHeader(HttpHeaders.of("Verbenamast-Key"), "key-" + key)
                .build();
        http.request(request)
                .then(response -> response.loadBody().map(body -> {
                    body.recycle();
                    return response;
                }))
                .whenComplete((response, e) -> ended(due, response, e));
    }

    private void ended(long due, HttpResponse response, Exception e) {
        ended++;
        String outcome = e == null ? response.getHeader(HttpHeaders.of("Verbenamast-Outcome")) : null;
        switch (String.valueOf(outcome)) {
            case "answered" -> {
                answered++;
                latencies.recordValue(Math.max(0, System.nanoTime() - due) / NANOS_PER_MICRO);
            }
            case "not-run" -> notRun++;
            case "unknown" -> unknown++;
            default -> failed++;
        }
        finishIfDone();
    }

    private void finishIfDone() {
        if (ended == (long) plan.rate() * plan.seconds()) {
            eventloop.post(eventloop::breakEventloop);
        }
    }
}
