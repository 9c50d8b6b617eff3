package org.verbenamast.ctl;

import java.time.Duration;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.vavr.control.Either;
import org.verbenamast.core.model.Address;
import org.verbenamast.http.HttpClients;

/** Speaks HTTP to nodes, on the calling thread. */
final class HttpOperatorApi implements OperatorApi {

    private static final int MAX_BODY_BYTES = 64 << 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
    private final HttpClient http = HttpClients.create(eventloop, MAX_BODY_BYTES);

    @Override
    public Either<CtlFault, Reply> get(Address node, String path) {
        return send(node, HttpRequest.get("http://" + node + path).build());
    }

    @Override
    public Either<CtlFault, Reply> post(Address node, String path, byte[] body) {
        return send(
                node, HttpRequest.post("http://" + node + path).withBody(body).build());
    }

    private Either<CtlFault, Reply> send(Address node, HttpRequest request) {
        Answer answer = new Answer();
        eventloop.post(() -> Promises.timeout(TIMEOUT, reply(request)).whenComplete((reply, e) -> {
            answer.reply = reply;
            answer.failure = e;
        }));
        eventloop.run();
        return answer.failure == null
                ? Either.right(answer.reply)
                : Either.left(CtlFault.shouldBeReachable(node.toString(), String.valueOf(answer.failure)));
    }

    private Promise<Reply> reply(HttpRequest request) {
        return http.request(request).then(response -> response.loadBody(MAX_BODY_BYTES)
                .map(body -> new Reply(response.getCode(), body.asArray())));
    }

    @Override
    public void pause(long millis) {
        eventloop.delay(millis, () -> {});
        eventloop.run();
    }

    private static final class Answer {
        private Reply reply;
        private Exception failure;
    }
}
