package org.verbenamast.relay.backend;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Calls to a backend server that sends bytes or answers that belong to no request, or to another one. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class BackendMixupTest extends BackendFixture {

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1_000_000})
    void should_give_each_request_its_own_answer_when_the_server_sends_copies(int pieceBytes) throws IOException {
        // given
        AtomicInteger requests = new AtomicInteger();
        serve((number, out) -> {
            int request = requests.incrementAndGet();
            String copy = number == 0 ? "" : answer("attempt-" + (request - 1), "of the one before");
            byte[] all = bytes(copy + answer("attempt-" + request, "own " + request));
            for (int from = 0; from < all.length; from += pieceBytes) {
                out.write(all, from, Math.min(pieceBytes, all.length - from));
                out.flush();
            }
        });

        // then
        for (int i = 1; i <= 5; i++) {
            Call call = new Call().run();
            assertThat(call.end).isEqualTo("answered");
            assertThat(call.body.toString(StandardCharsets.UTF_8)).isEqualTo("own " + i);
        }
    }

    @Test
    void should_not_use_a_connection_again_when_bytes_came_after_the_answer() throws IOException {
        // given
        AtomicInteger answered = new AtomicInteger();
        serve((number, out) -> {
            int attempt = answered.incrementAndGet();
            out.write(bytes(answer("attempt-" + attempt, "own " + attempt).repeat(2)));
        });

        // when
        Call first = new Call().run();
        Call second = new Call().run();

        // then
        assertThat(first.body.toString(StandardCharsets.UTF_8)).isEqualTo("own 1");
        assertThat(second.body.toString(StandardCharsets.UTF_8)).isEqualTo("own 2");
        assertThat(connections.get()).isEqualTo(2);
    }

    /** Guards against a failure that reached its caller as a success, with the status of bytes after an answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "H",
                "\r\n",
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nContent-Type: text/pl",
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nhalf",
                "not HTTP at all"
            })
    void should_report_the_failure_when_a_fragment_came_after_the_answer_before(String fragment) throws IOException {
        // given
        AtomicInteger requests = new AtomicInteger();
        serve((number, out) -> {
            int request = requests.incrementAndGet();
            out.write(request == 1 ? bytes(answer("attempt-1", "own") + fragment) : failure(request));
        });

        // when
        Call first = new Call().run();
        Call second = new Call().run();

        // then
        assertThat(first.end).isEqualTo("answered");
        assertThat(second.end).isEqualTo("answered");
        assertThat(second.status).isEqualTo(500);
        assertThat(connections.get()).isEqualTo(2);
    }

    /** Guards against the same when the bytes arrive only after the next request was sent on the connection. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 2",
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nX-Odd",
                "HTTP/1.1 200 OK\r\nX-Odd:",
                "HTTP/1.1 200 OK\r\nX-Odd: x",
                "HTTP/1.1 200 OK\r\nX-Odd: x\r\n",
                "HTTP/1.1 200 OK\r\nX-Odd: x\r\n "
            })
    void should_never_merge_a_late_fragment_with_the_head_of_an_answer(String fragment) throws IOException {
        // given
        serve((number, out) -> {
            out.write(number == 0 ? bytes(answer("attempt-1", "own")) : bytes(fragment));
            out.write(number == 0 ? new byte[0] : failure(number + 1));
        });

        // when
        Call first = new Call().run();
        Call second = new Call().run();

        // then
        assertThat(first.end).isEqualTo("answered");
        assertThat(second.end).isEqualTo("broken");
    }

    @Test
    void should_not_use_a_connection_again_when_an_answer_of_an_earlier_request_came_on_it() throws IOException {
        // given
        AtomicInteger requests = new AtomicInteger();
        serve((number, out) -> {
            int request = requests.incrementAndGet();
            String copy = number == 1 ? answer("attempt-1", "own 1") : "";
            out.write(bytes(copy + answer("attempt-" + request, "own " + request)));
        });

        // then
        for (int i = 1; i <= 3; i++) {
            assertThat(new Call().run().body.toString(StandardCharsets.UTF_8)).isEqualTo("own " + i);
        }
        assertThat(connections.get()).isEqualTo(2);
    }

    /** Guards against "not run" for a request that runs: a refusal of an earlier request came once more. */
    @ParameterizedTest
    @ValueSource(strings = {"X-Verbenamast-Attempt-Id: attempt-1\r\n", "X-Verbenamast-Attempt-Id: \r\n", ""})
    void should_never_report_a_request_as_not_run_on_the_refusal_of_another_one(String idField) throws IOException {
        // given
        AtomicInteger requests = new AtomicInteger();
        serve((number, out) -> {
            boolean first = requests.incrementAndGet() == 1;
            out.write(bytes(first ? refusal("X-Verbenamast-Attempt-Id: attempt-1\r\n") : refusal(idField)));
            out.write(bytes(first ? "" : answer("attempt-2", "own")));
        });

        // when
        Call first = new Call().run();
        Call second = new Call().run();

        // then
        assertThat(first.end).isEqualTo("not run");
        assertThat(second.end).isEqualTo(idField.isEmpty() ? "broken" : "answered");
    }

    /** Guards against the same for a request that is sent again to the server that refused it. */
    @Test
    void should_use_another_connection_when_a_request_is_sent_again_after_its_refusal() throws IOException {
        // given
        AtomicInteger requests = new AtomicInteger();
        serve((number, out) -> {
            boolean first = requests.incrementAndGet() == 1;
            boolean isCopy = number > 0;
            String refusal = refusal("X-Verbenamast-Attempt-Id: same\r\n");
            out.write(bytes(first || isCopy ? refusal : answer("same", "own")));
        });

        // when
        Call first = new Call("same").run();
        Call again = new Call("same").run();
        Call other = new Call("other").run();

        // then
        assertThat(first.end).isEqualTo("not run");
        assertThat(again.end).isEqualTo("answered");
        assertThat(connections.get()).isEqualTo(2);
        assertThat(other.end).isNotEqualTo("unsent");
    }
}
