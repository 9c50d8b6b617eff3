package org.verbenamast.node.caller;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.node.http.Headers;

/** Writes answers to callers. */
final class CallerResponses {

    private CallerResponses() {}

    static HttpResponse of(RequestOutcome outcome) {
        if (outcome instanceof RequestOutcome.Answered answered) {
            return answered(answered);
        }
        if (outcome instanceof RequestOutcome.NotRun notRun) {
            return refused(notRun.reason().status(), "not-run", notRun.reason());
        }
        RequestOutcome.Unknown unknown = (RequestOutcome.Unknown) outcome;
        return refused(unknown.reason().status(), "unknown", unknown.reason());
    }

    /** Tells the caller with an answer to send nothing more on its connection. */
    static HttpResponse last(HttpResponse answer) {
        HttpResponse.Builder response =
                HttpResponse.ofCode(answer.getCode()).withHeader(HttpHeaders.CONNECTION, "close");
        answer.getHeaders().forEach(header -> response.withHeader(header.getKey(), header.getValue()));
        return response.withBody(answer.takeBody()).build();
    }

    private static HttpResponse answered(RequestOutcome.Answered answered) {
        HttpResponse.Builder response = HttpResponse.ofCode(answered.status());
        answered.headers().forEach(header -> response.withHeader(HttpHeaders.of(header.name()), header.value()));
        response.withHeader(Headers.OUTCOME, "answered");
        return response.withBody(answered.body().bytes()).build();
    }

    private static HttpResponse refused(int status, String outcome, Enum<?> reason) {
        return HttpResponse.ofCode(status)
                .withHeader(Headers.OUTCOME, outcome)
                .withHeader(Headers.REASON, reason.name())
                .withJson("{\"outcome\":\"%s\",\"reason\":\"%s\"}".formatted(outcome, reason))
                .build();
    }
}
