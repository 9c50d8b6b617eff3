package org.verbenamast.relay.caller;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.wire.FrameCodec;
import org.verbenamast.wire.generated.RelayAccepted;
import org.verbenamast.wire.generated.RelayAnswer;
import org.verbenamast.wire.generated.RelayEnd;
import org.verbenamast.wire.generated.RelayFrame;
import org.verbenamast.wire.relay.RelayFrames;

import static org.assertj.core.api.Assertions.assertThat;

/** Large bodies, which would fill the link of a node that refuses the request. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class LargeBodyTest extends CallerFixture {

    private static final int BODY_BYTES = 100_000;
    /** Time for which the first node leaves the request unanswered, in milliseconds. */
    private static final long UNDECIDED_MILLIS = 200;

    private final List<Integer> bodies = new CopyOnWriteArrayList<>();
    private final AtomicInteger links = new AtomicInteger();
    private int opened;

    @Test
    void should_send_a_large_body_once_a_node_has_accepted_the_request() throws Exception {
        // given
        putManifest(2, false, RequestKind.UPLOAD);
        start(() -> {
            for (Socket link = nodes.accept(); true; link = nodes.accept()) {
                Socket accepted = link;
                links.incrementAndGet();
                start(() -> serve(accepted));
            }
        });

        // when
        int status = upload();

        // then
        assertThat(status).isEqualTo(200);
        assertThat(bodies).as("bytes until the refusal, and until the end").containsExactly(0, BODY_BYTES);
        assertThat(links.get())
                .as("links, of which the refusal leaves one usable")
                .isEqualTo(1);
    }

    /** Plays the nodes: the first request is refused after some time, the next one accepted. */
    private void serve(Socket link) throws Exception {
        try (link) {
            FrameCodec<RelayFrame> codec = new FrameCodec<>(RelayFrame.getDefaultInstance(), MAX_FRAME_BYTES);
            byte[] buffer = new byte[PIECE_BYTES];
            int received = 0;
            for (int length = link.getInputStream().read(buffer);
                    length >= 0;
                    length = link.getInputStream().read(buffer)) {
                codec.received(buffer, 0, length);
                for (RelayFrame frame = codec.next(); frame != null; frame = codec.next()) {
                    received += frame.getData().size();
                    if (frame.hasOpen() && ++opened == 1) {
                        Thread.sleep(UNDECIDED_MILLIS);
                        bodies.add(received + link.getInputStream().available());
                        send(link, codec, RelayFrames.refused(Refusal.FULL, 0, IDLE, StoreVersions.NONE));
                    } else if (frame.hasOpen()) {
                        send(
                                link,
                                codec,
                                RelayFrame.newBuilder()
                                        .setAccepted(RelayAccepted.getDefaultInstance())
                                        .build());
                    } else if (frame.hasEnd()) {
                        bodies.add(received);
                        answer(link, codec);
                    }
                }
            }
        }
    }

    private static void answer(Socket link, FrameCodec<RelayFrame> codec) throws Exception {
        RelayAnswer.Builder head = RelayAnswer.newBuilder()
                .setStatus(200)
                .setBodyLength(0)
                .setLoad(RelayFrames.load(IDLE, StoreVersions.NONE));
        send(link, codec, RelayFrame.newBuilder().setAnswer(head).build());
        send(
                link,
                codec,
                RelayFrame.newBuilder().setEnd(RelayEnd.getDefaultInstance()).build());
    }

    private int upload() {
        AtomicInteger status = new AtomicInteger();
        start(() -> {
            try (Socket caller = new Socket()) {
                caller.connect(new InetSocketAddress(callers.host(), callers.port()));
                caller.setSoTimeout((int) LONGEST_TEST_MILLIS);
                write(
                        caller,
                        "POST /items HTTP/1.1\r\nHost: shop\r\n" + RequestFields.ATTEMPT_ID + ": 1\r\nContent-Length: "
                                + BODY_BYTES + "\r\n\r\n" + "x".repeat(BODY_BYTES));
                byte[] head = caller.getInputStream().readNBytes("HTTP/1.1 200".length());
                status.set(Integer.parseInt(new String(head, StandardCharsets.ISO_8859_1).substring(9)));
            } finally {
                eventloop.execute(eventloop::breakEventloop);
            }
        });
        eventloop.delay(LONGEST_TEST_MILLIS, eventloop::breakEventloop);
        eventloop.run();
        return status.get();
    }
}
