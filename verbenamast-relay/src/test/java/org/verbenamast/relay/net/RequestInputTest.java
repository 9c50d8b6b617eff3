package org.verbenamast.relay.net;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.function.IntPredicate;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenamast.core.client.ClientRefusal;

import static org.assertj.core.api.Assertions.assertThat;

class RequestInputTest {

    private static final int MAX_HEAD_BYTES = 1024;
    private static final String REQUESTS = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
            + "POST /b HTTP/1.1\r\nContent-Length: 9\r\n\r\na\r\n\r\nb\n\nc"
            + "\r\n\r\nPOST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "5;x=y\r\n0\r\n\r\n\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\n"
            + "HEAD /d HTTP/1.1\r\nHost: h\r\n\r\n"
            + "POST /e HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + "POST /f HTTP/1.1\r\nContent-Length: 0\r\n\r\nGET /g HTTP/1.1\r\n\r\n";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static Deque<HttpObject> decode(String text, int pieceBytes, IntPredicate hasRoom) {
        try (HttpCodec codec = HttpCodec.server(MAX_HEAD_BYTES)) {
            RequestInput input = new RequestInput(codec, MAX_HEAD_BYTES, hasRoom);
            Deque<HttpObject> parts = new ArrayDeque<>();
            byte[] all = bytes(text);
            for (int sent = 0; sent < all.length; sent += pieceBytes) {
                input.add(Arrays.copyOfRange(all, sent, Math.min(all.length, sent + pieceBytes)));
                while (input.decode(parts)) {
                    assertThat(input.heldBytes()).isLessThanOrEqualTo(MAX_HEAD_BYTES + pieceBytes);
                }
            }
            return parts;
        }
    }

    private static String describe(Iterable<HttpObject> parts) {
        StringBuilder text = new StringBuilder();
        for (HttpObject part : parts) {
            assertThat(part.decoderResult().isSuccess()).isTrue();
            if (part instanceof HttpRequest request) {
                text.append(request.method()).append(request.uri()).append('[');
            }
            if (part instanceof HttpContent content) {
                text.append(content.content().toString(StandardCharsets.ISO_8859_1));
            }
            if (part instanceof LastHttpContent) {
                text.append(']');
            }
        }
        return text.toString();
    }

    /** Guards against bytes that become part of another request. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 7, 11, 16, 31, 64, 100, 1_000})
    void should_decode_what_the_codec_decodes_however_the_bytes_arrive(int pieceBytes) {
        assertThat(describe(decode(REQUESTS, pieceBytes, weight -> true)))
                .isEqualTo("GET/a[]POST/b[a\r\n\r\nb\n\nc]POST/c[0\r\n\r\n0123456789]HEAD/d[]POST/e[]POST/f[]GET/g[]");
    }

    private static void assertRefused(String text, ClientRefusal reason) {
        HttpObject last = decode(text, 100, weight -> weight < 200_000).peekLast();
        assertThat(last.decoderResult().cause())
                .isInstanceOfSatisfying(RefusedHeadException.class, refused -> assertThat(refused.reason())
                        .isEqualTo(reason));
    }

    @Test
    void should_refuse_what_does_not_end() {
        assertRefused("GET / HTTP/1.1\r\n" + "a:\r\n".repeat(1_000), ClientRefusal.HEAD_TOO_LONG);
        assertRefused("GET / HTTP/1.1\r\nLong: " + "x".repeat(10_000), ClientRefusal.HEAD_TOO_LONG);
        assertRefused("\r\n".repeat(10_000), ClientRefusal.HEAD_TOO_LONG);
        assertRefused(
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + "a:\r\n".repeat(1_000),
                ClientRefusal.HEAD_TOO_LONG);
    }

    @ParameterizedTest
    @CsvSource({"100, true", "100, false"})
    void should_weigh_the_lines_of_a_head_before_it_is_decoded(int lines, boolean hasRoom) {
        // given
        String text = "GET / HTTP/1.1\r\n" + "a:\r\n".repeat(lines) + "\r\n";

        // when
        Deque<HttpObject> parts = decode(text, 7, weight -> {
            assertThat(weight).isGreaterThan(lines * 300);
            return hasRoom;
        });

        // then
        assertThat(parts.peekFirst().decoderResult().isSuccess()).isEqualTo(hasRoom);
    }
}
