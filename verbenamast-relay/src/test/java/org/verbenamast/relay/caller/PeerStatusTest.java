package org.verbenamast.relay.caller;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.wire.FrameCodec;
import org.verbenamast.wire.generated.RelayAnswer;
import org.verbenamast.wire.generated.RelayEnd;
import org.verbenamast.wire.generated.RelayFrame;
import org.verbenamast.wire.relay.RelayFrames;

import static org.assertj.core.api.Assertions.assertThat;

/** Answers of other nodes whose status is that of no final answer. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class PeerStatusTest extends CallerFixture {

    private String statusLine = "";

    private void serve(Socket link, int status) throws Exception {
        try (link) {
            FrameCodec<RelayFrame> codec = new FrameCodec<>(RelayFrame.getDefaultInstance(), MAX_FRAME_BYTES);
            byte[] buffer = new byte[PIECE_BYTES];
            for (int length = link.getInputStream().read(buffer);
                    length >= 0;
                    length = link.getInputStream().read(buffer)) {
                codec.received(buffer, 0, length);
                for (RelayFrame frame = codec.next(); frame != null; frame = codec.next()) {
                    if (frame.hasEnd()) {
                        RelayAnswer.Builder answer = RelayAnswer.newBuilder()
                                .setStatus(status)
                                .setLoad(RelayFrames.load(IDLE, StoreVersions.NONE));
                        send(
                                link,
                                codec,
                                RelayFrame.newBuilder().setAnswer(answer).build());
                        send(
                                link,
                                codec,
                                RelayFrame.newBuilder()
                                        .setEnd(RelayEnd.getDefaultInstance())
                                        .build());
                    }
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 2, 99, 100, 199, 600, 700, 999, 2_000})
    void should_answer_with_a_failure_when_a_node_tells_a_status_that_is_none(int status) {
        // given
        start(() -> {
            while (true) {
                Socket link = nodes.accept();
                start(() -> serve(link, status));
            }
        });

        // when
        start(() -> {
            try (Socket caller = new Socket()) {
                caller.connect(new InetSocketAddress(callers.host(), callers.port()));
                caller.setSoTimeout((int) LONGEST_TEST_MILLIS);
                write(caller, "GET /a HTTP/1.1\r\nHost: shop\r\n" + RequestFields.ATTEMPT_ID + ": 1\r\n\r\n");
                byte[] head = caller.getInputStream().readNBytes("HTTP/1.1 502".length());
                statusLine = new String(head, StandardCharsets.ISO_8859_1);
            } finally {
                eventloop.execute(eventloop::breakEventloop);
            }
        });
        eventloop.delay(LONGEST_TEST_MILLIS, eventloop::breakEventloop);
        eventloop.run();

        // then
        assertThat(statusLine).isEqualTo("HTTP/1.1 502");
    }
}
