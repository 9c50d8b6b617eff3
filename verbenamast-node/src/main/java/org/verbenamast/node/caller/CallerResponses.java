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
