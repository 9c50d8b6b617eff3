package org.verbenamast.it.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import org.verbenamast.http.HttpClients;
import org.verbenamast.it.check.Ask;
import org.verbenamast.it.check.AskOutcome;
import org.verbenamast.it.check.Question;
import org.verbenamast.it.deploy.RelayFleet;
import org.verbenamast.platform.RequestFields;

/** Callers on every host: they ask at a steady rate over connections that they keep, and note what they got. */
final class SoakCallers {

    private static final long EVERY_MILLIS = 10;
    private static final int KEYS = 400;
    private static final int KEY_STEP = 163;
    private static final int MOST_BYTES = 6_000;
    private static final int ORDERS_ONE_IN = 4;
    private static final String DEADLINE_MILLIS = "2500";
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int OK = 200;
    /** The statuses that promise that a request has not run and will not. */
    private static final List<Integer> NOT_RUN = List.of(408, 421, 429, 503);

    private final Eventloop eventloop;
    private final RelayFleet fleet;
    private final HttpClient client;
    private final Random random;
    private final List<Ask> asks = new ArrayList<>();
    private boolean stopped;
    private int open;
    private int sent;
    private int answeredInARow;

    SoakCallers(Eventloop eventloop, RelayFleet fleet, long seed) {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.client = HttpClients.create(eventloop, MAX_BODY_BYTES);
        this.random = new Random(seed);
    }

    /** Asks until {@link #stop}. */
    void start() {
        if (!stopped) {
            ask();
            eventloop.delay(EVERY_MILLIS, this::start);
        }
    }

    void stop() {
        stopped = true;
    }

    /** Tells whether no request is under way. */
    boolean idle() {
        return open == 0;
    }

    int answeredInARow() {
        return answeredInARow;
    }

    void forgetRow() {
        answeredInARow = 0;
    }

    List<Ask> asks() {
        return asks;
    }

    Map<AskOutcome, Long> outcomes() {
        Map<AskOutcome, Long> outcomes = new EnumMap<>(AskOutcome.class);
        asks.forEach(ask -> outcomes.merge(ask.outcome(), 1L, Long::sum));
        return outcomes;
    }

    private void ask() {
        boolean order = random.nextInt(ORDERS_ONE_IN) == 0;
        int bytes = order ? 0 : 1 + random.nextInt(MOST_BYTES);
        String key = order ? "" : Integer.toString(random.nextInt(KEYS) * KEY_STEP);
        Question question = new Question(
                order ? "POST" : "GET", order ? "/book/slot" : "/stock/item", key, bytes, "soak-" + ++sent);
        String callers = fleet.callers(random.nextInt(fleet.hosts()));
        long start = Question.micros();
        open++;
        client.request(request(question, callers))
                .then(answer -> answer.loadBody(MAX_BODY_BYTES).map(body -> {
                    String status = Integer.toString(answer.getCode());
                    note(question.ended(start, outcome(answer), status, body.getArray()));
                    return answer;
                }))
                .whenException(e -> note(question.failed(start, e)));
    }

    private static HttpRequest request(Question question, String callers) {
        String url = "http://" + callers + question.path() + "?bytes=" + question.bytes();
        HttpRequest.Builder request = "POST".equals(question.method()) ? HttpRequest.post(url) : HttpRequest.get(url);
        request.withHeader(HttpHeaders.of(RequestFields.ATTEMPT_ID), question.id());
        request.withHeader(HttpHeaders.of(RequestFields.TIME_LEFT), DEADLINE_MILLIS);
        if (!question.key().isEmpty()) {
            request.withHeader(HttpHeaders.of(RequestFields.KEY), question.key());
        }
        return request.build();
    }

    private static AskOutcome outcome(HttpResponse answer) {
        if (answer.getCode() == OK) {
            return AskOutcome.ANSWERED;
        }
        return NOT_RUN.contains(answer.getCode()) ? AskOutcome.NOT_RUN : AskOutcome.UNKNOWN;
    }

    private void note(Ask ask) {
        open--;
        answeredInARow = ask.outcome() == AskOutcome.ANSWERED ? answeredInARow + 1 : 0;
        asks.add(ask);
    }
}
