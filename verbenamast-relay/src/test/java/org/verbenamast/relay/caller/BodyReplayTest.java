package org.verbenamast.relay.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.keys.KeyMap;
import org.verbenamast.core.keys.KeyRange;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.wire.FrameCodec;
import org.verbenamast.wire.generated.RelayAccepted;
import org.verbenamast.wire.generated.RelayAnswer;
import org.verbenamast.wire.generated.RelayEnd;
import org.verbenamast.wire.generated.RelayFailed;
import org.verbenamast.wire.generated.RelayFrame;
import org.verbenamast.wire.relay.RelayFrames;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests with bodies that are sent to a second server after the first one did not serve them. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class BodyReplayTest extends CallerFixture {

    /** Size of a body's beginning that an entry node reads before a node has accepted the request, in bytes. */
    private static final int KEPT_BYTES = 64 * 1024;

    /** What a node reports of a request that it has accepted and whose body it has received in part. */
    private enum FirstEnd {
        /** The server has not run it. */
        REFUSED {
            @Override
            void send(Socket link, FrameCodec<RelayFrame> codec) throws IOException {
                CallerFixture.send(link, codec, RelayFrames.refused(Refusal.SHED, 0, IDLE, StoreVersions.NONE));
            }
        },
        /** The server's connection broke. */
        BROKEN {
            @Override
            void send(Socket link, FrameCodec<RelayFrame> codec) throws IOException {
                CallerFixture.send(
                        link,
                        codec,
                        RelayFrame.newBuilder()
                                .setFailed(RelayFailed.getDefaultInstance())
                                .build());
            }
        },
        /** The server's answer reports that it failed. */
        FAILED {
            @Override
            void send(Socket link, FrameCodec<RelayFrame> codec) throws IOException {
                answer(link, codec, 500);
            }
        };

        abstract void send(Socket link, FrameCodec<RelayFrame> codec) throws IOException;
    }

    /** When the first node accepts the request, and how much of the body the caller holds back until it may go on. */
    private enum Acceptance {
        /** On receipt of the head, while the caller sends. */
        AT_ONCE {
            @Override
            boolean isDue(int received, boolean whole) {
                return true;
            }

            @Override
            int heldFrom() {
                return Integer.MAX_VALUE;
            }
        },
        /** Before the entry node reads the rest: it reads no more than it keeps until the request is accepted. */
        BEFORE_REST {
            @Override
            boolean isDue(int received, boolean whole) {
                return received >= KEPT_BYTES;
            }

            @Override
            int heldFrom() {
                return KEPT_BYTES;
            }
        },
        /** After the entry node has read the body's end, which reaches it in one piece with the last bytes. */
        AFTER_END {
            @Override
            boolean isDue(int received, boolean whole) {
                return whole;
            }

            @Override
            int heldFrom() {
                return KEPT_BYTES - 1;
            }
        },
        /** On receipt of the head; the caller goes on when the first attempt has ended and its link was closed. */
        BEFORE_FAILURE {
            @Override
            boolean isDue(int received, boolean whole) {
                return true;
            }

            @Override
            int heldFrom() {
                return KEPT_BYTES - 1;
            }

            @Override
            int releasedAt() {
                return Integer.MAX_VALUE;
            }
        };

        abstract boolean isDue(int received, boolean whole);

        abstract int heldFrom();

        int releasedAt() {
            return heldFrom();
        }
    }

    private final List<Integer> receivedBytes = new CopyOnWriteArrayList<>();
    private final AtomicInteger opened = new AtomicInteger();
    private boolean keyed;
    private final CountDownLatch rest = new CountDownLatch(1);
    /** Plays the nodes: the first request ends early, the next one is answered once its body is complete. */
    private void serveNodes(Acceptance acceptance, FirstEnd firstEnd, int firstEndBytes) {
        start(() -> {
            for (Socket link = nodes.accept(); true; link = nodes.accept()) {
                Socket accepted = link;
                start(() -> serve(accepted, acceptance, firstEnd, firstEndBytes));
            }
        });
    }

    private void serve(Socket link, Acceptance acceptance, FirstEnd firstEnd, int firstEndBytes) throws Exception {
        try (link) {
            FrameCodec<RelayFrame> codec = new FrameCodec<>(RelayFrame.getDefaultInstance(), MAX_FRAME_BYTES);
            byte[] buffer = new byte[PIECE_BYTES];
            boolean first = false;
            boolean accepted = false;
            boolean ended = false;
            int received = 0;
            while (true) {
                int length = link.getInputStream().read(buffer);
                if (length < 0) {
                    rest.countDown();
                    return;
                }
                codec.received(buffer, 0, length);
                for (RelayFrame frame = codec.next(); frame != null; frame = codec.next()) {
                    if (frame.hasOpen()) {
                        received = 0;
                        accepted = false;
                        first = opened.incrementAndGet() == 1;
                    }
                    received += frame.getData().size();
                    if (!accepted && (!first || acceptance.isDue(received, frame.hasEnd()))) {
                        accepted = true;
                        accept(link, codec);
                    }
                    if (received >= acceptance.releasedAt()) {
                        rest.countDown();
                    }
                    if (first && accepted && !ended && received >= firstEndBytes) {
                        ended = true;
                        if (keyed) {
                            onLoop(() -> putKeys(KeyMap.vacant("stock"), 2));
                        }
                        firstEnd.send(link, codec);
                    }
                    if (frame.hasEnd() && !first) {
                        receivedBytes.add(received);
                        answer(link, codec, 200);
                    }
                }
            }
        }
    }

    private static void accept(Socket link, FrameCodec<RelayFrame> codec) throws IOException {
        send(
                link,
                codec,
                RelayFrame.newBuilder()
                        .setAccepted(RelayAccepted.getDefaultInstance())
                        .build());
    }

    private static void answer(Socket link, FrameCodec<RelayFrame> codec, int status) throws IOException {
        RelayAnswer.Builder head = RelayAnswer.newBuilder()
                .setStatus(status)
                .setBodyLength(0)
                .setLoad(RelayFrames.load(IDLE, StoreVersions.NONE));
        send(link, codec, RelayFrame.newBuilder().setAnswer(head).build());
        send(
                link,
                codec,
                RelayFrame.newBuilder().setEnd(RelayEnd.getDefaultInstance()).build());
    }

    /** Sends a request with a body in chunks, and returns the status of the answer. */
    private int send(Acceptance acceptance, int bodyBytes) {
        AtomicInteger status = new AtomicInteger();
        start(() -> {
            try (Socket caller = new Socket()) {
                caller.connect(new InetSocketAddress(callers.host(), callers.port()));
                caller.setSoTimeout((int) LONGEST_TEST_MILLIS);
                start(() -> writeRequest(caller, acceptance, bodyBytes));
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

    private void writeRequest(Socket caller, Acceptance acceptance, int bodyBytes) throws Exception {
        write(
                caller,
                "POST /items HTTP/1.1\r\nHost: shop\r\n" + RequestFields.ATTEMPT_ID + ": 1\r\n"
                        + (keyed ? RequestFields.KEY + ": 7\r\n" : "") + "Transfer-Encoding: chunked\r\n\r\n");
        int atOnce = Math.min(acceptance.heldFrom(), bodyBytes);
        for (int sent = 0; sent < atOnce; sent += PIECE_BYTES) {
            write(caller, chunk(Math.min(PIECE_BYTES, atOnce - sent)));
        }
        if (acceptance.heldFrom() <= bodyBytes) {
            assertThat(rest.await(LONGEST_TEST_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        }
        write(caller, (bodyBytes > atOnce ? chunk(bodyBytes - atOnce) : "") + "0\r\n\r\n");
        if (keyed) {
            // A timer is due only after the loop has read from the sockets once more.
            onLoop(() -> eventloop.delay(1L, () -> putKeys(keysOf("second"), 3)));
        }
    }

    private static KeyMap keysOf(String node) {
        return KeyMap.vacant("stock").move(KeyRange.ALL, incarnation(node));
    }

    private void onLoop(Runnable task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        eventloop.execute(() -> {
            task.run();
            done.countDown();
        });
        assertThat(done.await(LONGEST_TEST_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }

    private static String chunk(int length) {
        return Integer.toHexString(length) + "\r\n" + "x".repeat(length) + "\r\n";
    }

    /** Guards against a long body that reached the second server cut off, yet properly ended. */
    @ParameterizedTest
    @CsvSource({
        "REFUSED, 0, 50000, 200",
        "REFUSED, 30000, 50000, 200",
        "REFUSED, 65536, 65536, 200",
        "REFUSED, 150000, 200000, 503",
        "REFUSED, 200000, 200000, 503",
        "BROKEN, 30000, 50000, 200",
        "BROKEN, 150000, 200000, 502"
    })
    void should_send_a_whole_body_or_none_to_the_second_server(
            FirstEnd firstEnd, int firstEndBytes, int bodyBytes, int status) {
        assertWholeBodyOrNone(Acceptance.AT_ONCE, firstEnd, firstEndBytes, bodyBytes, status);
    }

    /**
     * Guards the bound of what is kept. A body beyond it is still whole if the request was accepted only after all of
     * the body was read, and may be sent again; if it was accepted before, the body is dropped.
     */
    @ParameterizedTest
    @CsvSource({
        "BEFORE_REST, REFUSED, 65536, 200", "BEFORE_REST, REFUSED, 65537, 503",
        "BEFORE_REST, BROKEN, 65536, 200", "BEFORE_REST, BROKEN, 65537, 502",
        "AFTER_END, REFUSED, 65536, 200", "AFTER_END, REFUSED, 65537, 200",
        "AFTER_END, BROKEN, 65536, 200", "AFTER_END, BROKEN, 65537, 200"
    })
    void should_send_a_whole_body_or_none_whenever_the_request_is_accepted(
            Acceptance acceptance, FirstEnd firstEnd, int bodyBytes, int status) {
        assertWholeBodyOrNone(acceptance, firstEnd, bodyBytes, bodyBytes, status);
    }

    /**
     * Guards against a body that was cut off while its request waited for a new owner of the key. The caller sends the
     * rest of the body once the entry node has closed the link, which it does before it handles anything else.
     */
    @Test
    void should_send_the_whole_body_when_a_request_waited_for_an_owner_after_a_failure() {
        keyed = true;
        putManifest(2, true);
        putKeys(keysOf("first"), 1);
        assertWholeBodyOrNone(
                Acceptance.BEFORE_FAILURE, FirstEnd.FAILED, KEPT_BYTES - 1, KEPT_BYTES + PIECE_BYTES, 200);
    }

    private void assertWholeBodyOrNone(
            Acceptance acceptance, FirstEnd firstEnd, int firstEndBytes, int bodyBytes, int status) {
        // given
        serveNodes(acceptance, firstEnd, firstEndBytes);

        // when
        int answered = send(acceptance, bodyBytes);

        // then
        assertThat(answered).isEqualTo(status);
        assertThat(receivedBytes).isEqualTo(status == 200 ? List.of(bodyBytes) : List.of());
        assertThat(opened.get()).isEqualTo(status == 200 ? 2 : 1);
    }
}
