package org.verbenamast.relay.backend;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.activej.promise.Promise;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenamast.core.model.ServerLoad;

import static org.assertj.core.api.Assertions.assertThat;

/** Calls to a backend server whose answers never end or break off. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class BackendCallTest extends BackendFixture {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "x",
                "HTTP/1.1 200 OK\r\nX-Odd: x\r\n|X-Odd: x\r\n",
                "HTTP/1.1 200 OK\r\nX-Odd: x|x",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nTransfer-Encoding: chunked\r\n\r\n5;|x",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n|X-Odd: x\r\n",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nTransfer-Encoding: chunked\r\n\r\n|0"
            })
    void should_close_the_connection_when_a_part_of_an_answer_never_ends(String script) throws IOException {
        // given
        int bar = script.indexOf('|');
        serve((number, out) -> {
            out.write(bytes(bar < 0 ? "" : script.substring(0, bar)));
            writeEndlessly(out, script.substring(bar + 1));
        });

        // when
        Call call = new Call().run();

        // then
        assertThat(call.end).isEqualTo("broken");
        assertThat(call.body.size()).isLessThan(PIECE_BYTES);
    }

    /** Guards against bodies that fill the memory of the node while its server accepts no connection. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void should_accept_no_more_of_a_body_when_a_connection_is_being_opened(boolean accepted) throws Exception {
        // given
        serve((number, out) -> out.write(failure(1)));
        if (!accepted) {
            listener.close();
            // Connections are accepted until the thread that waits for them has noticed the close.
            threads.get(0).join();
        }
        Call call = new Call();
        List<Promise<Void>> rooms = new ArrayList<>();
        List<Boolean> roomAtOnce = new ArrayList<>();

        // when
        call.run(() -> {
            rooms.add(call.call.bodyRoom());
            roomAtOnce.add(rooms.get(0).isComplete());
        });

        // then
        assertThat(call.end).isEqualTo(accepted ? "answered" : "unsent");
        assertThat(roomAtOnce).containsExactly(false);
        assertThat(rooms).allMatch(Promise::isComplete);
        assertThat(call.call.bodyRoom().isComplete()).isTrue();
    }

    @Test
    void should_stop_an_endless_body_when_the_call_is_closed() throws Exception {
        // given
        serve((number, out) -> {
            out.write(bytes(OK + "X-Verbenamast-Attempt-Id: attempt-1\r\n\r\n"));
            writeEndlessly(out, "x");
        });

        // when
        Call call = new Call().run();

        // then
        assertThat(call.end).isEqualTo("closed");
        threads.get(1).join();
        assertThat(endedByCaller).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 2",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nContent-Length: 5",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nContent-Length: 50\r\n\r\nhalf",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nTransfer-Encoding: chunked\r\n\r\nodd\r\nhalf"
            })
    void should_never_complete_when_an_answer_breaks_off(String part) throws IOException {
        // given
        serve((number, out) -> {
            out.write(bytes(part));
            out.flush();
            throw new IOException("the server ends the connection");
        });

        // then
        assertThat(new Call().run().end).isEqualTo("broken");
    }

    /** Guards against an empty or short body framed as whole, when a server stopped in the head of its answer. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"})
    void should_never_complete_when_the_head_of_an_answer_breaks_off_at_any_byte(String framing) throws IOException {
        // given
        AtomicInteger sentBytes = new AtomicInteger();
        serve((number, out) -> {
            String head = OK + "X-Verbenamast-Attempt-Id: attempt-" + lastId + "\r\n" + framing + "\r\n";
            out.write(bytes(head.substring(0, sentBytes.get())));
            out.flush();
            throw new IOException("the server ends the connection");
        });
        int headBytes = (OK + "X-Verbenamast-Attempt-Id: attempt-\r\n" + framing + "\r\n").length();

        // then
        for (int cut = 0; cut <= headBytes; cut++) {
            sentBytes.set(cut);
            assertThat(new Call().run().end)
                    .as("after %d bytes of the head", cut)
                    .isEqualTo("broken");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "half"})
    void should_never_complete_an_answer_without_length_when_its_connection_is_reset(String part) throws IOException {
        // given
        serve((number, out) -> {
            out.write(bytes(OK + "X-Verbenamast-Attempt-Id: attempt-1\r\n\r\n" + part));
            out.flush();
            sockets.get(0).setSoLinger(true, 0);
            throw new IOException("the server resets the connection");
        });

        // then
        assertThat(new Call().run().end).isEqualTo("broken");
    }

    @Test
    void should_report_the_load_of_the_server_when_it_refuses() throws IOException {
        // given
        String refusal = "HTTP/1.1 503 Full\r\nX-Verbenamast-Not-Executed: 1\r\nX-Verbenamast-Attempt-Id: attempt-1\r\n"
                + "X-Verbenamast-Server-Load: 3,1,4,250\r\nContent-Length: 0\r\n\r\n";
        serve((number, out) -> out.write(refusal.getBytes(StandardCharsets.US_ASCII)));

        // when
        Call call = new Call().run();

        // then
        assertThat(call.end).isEqualTo("not run");
        assertThat(call.load).isEqualTo(new ServerLoad(3, 1, 4, 250));
    }

    /** Guards against a call that keeps or waits for what is no answer to it, without end. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\r\n\r\n|HTTP/1.1 100 Continue\r\n\r\n",
                OK + "X-Verbenamast-Attempt-Id: other\r\n\r\n|x",
                OK + "X-Verbenamast-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n|" + OK
                        + "X-Verbenamast-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Full\r\nX-Verbenamast-Not-Executed: 1\r\nX-Verbenamast-Attempt-Id: attempt-1\r\n\r\n|x"
            })
    void should_close_the_connection_when_bytes_that_answer_nothing_never_end(String script) throws Exception {
        // given
        int bar = script.indexOf('|');
        serve((number, out) -> {
            out.write(bytes(script.substring(0, bar)));
            while (true) {
                out.write(bytes(script.substring(bar + 1).repeat(PIECE_BYTES)));
            }
        });

        // when
        Call call = new Call().run();

        // then
        assertThat(call.end).isEqualTo(script.startsWith("HTTP/1.1 503") ? "not run" : "broken");
        assertThat(call.body.size()).isZero();
        threads.get(1).join();
        assertThat(endedByCaller).isTrue();
    }

    /** Guards against a node that keeps an endless body in memory while its caller does not read. */
    @Test
    void should_leave_an_endless_body_in_the_network_when_nobody_takes_it() throws IOException {
        // given
        serve((number, out) -> {
            out.write(bytes(OK + "X-Verbenamast-Attempt-Id: attempt-1\r\n\r\n"));
            while (true) {
                out.write(new byte[PIECE_BYTES]);
            }
        });
        Call call = new Call();
        call.hasRoom = false;

        // when
        call.run();
        call.call.close();

        // then
        assertThat(call.end).isEqualTo("head");
        assertThat(call.body.size()).isLessThan(ENDLESS_BYTES);
    }
}
