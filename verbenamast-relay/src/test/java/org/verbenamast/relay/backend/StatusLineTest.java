package org.verbenamast.relay.backend;

import java.io.IOException;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Answers whose status is none: they are broken, and no caller gets them. */
@Timeout(60)
class StatusLineTest extends BackendFixture {

    private static final String FIELDS =
            "\r\nX-Verbenamast-Response-Signature: s\r\nX-Verbenamast-Attempt-Id: attempt-1\r\n"
                    + "Content-Length: 2\r\n\r\nok";

    private Call callAnsweredWith(String statusLine) throws IOException {
        serve((number, out) -> out.write(bytes(statusLine + FIELDS)));
        return new Call().run();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK",
                "HTTP/1.1 000",
                "HTTP/1.1 99 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 2 OK",
                "HTTP/1.1 099 OK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 -200 OK",
                "HTTP/1.1 2x0 OK",
                "HTTP/1.1 OK",
                "HTTP/1.1",
                "HTTP/1.1 600 OK",
                "HTTP/1.1 700 OK",
                "HTTP/1.1 999 OK"
            })
    void should_be_broken_when_the_status_is_none(String statusLine) throws IOException {
        // when
        Call call = callAnsweredWith(statusLine);

        // then
        assertThat(call.end).isEqualTo("broken");
        assertThat(call.status).isZero();
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 599 Odd"})
    void should_be_answered_when_the_status_is_one_without_a_reason_or_with_an_odd_one(String statusLine)
            throws IOException {
        assertThat(callAnsweredWith(statusLine).end).isEqualTo("answered");
    }

    @ParameterizedTest
    @ValueSource(strings = {"H", "HTTP/1.1", "HTTP/1.1 20", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n"})
    void should_be_broken_when_the_connection_is_reset_within_the_status_line(String part) throws IOException {
        // given
        serve((number, out) -> {
            out.write(bytes(part));
            out.flush();
            sockets.get(0).setSoLinger(true, 0);
            sockets.get(0).close();
        });

        // when
        Call call = new Call().run();

        // then
        assertThat(call.end).isEqualTo("broken");
        assertThat(call.status).isZero();
    }
}
