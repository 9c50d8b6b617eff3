package org.verbenamast.relay.caller;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.wire.FrameCodec;
import org.verbenamast.wire.generated.RelayAccepted;
import org.verbenamast.wire.generated.RelayAnswer;
import org.verbenamast.wire.generated.RelayEnd;
import org.verbenamast.wire.generated.RelayFrame;
import org.verbenamast.wire.relay.RelayFrames;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that are sent to a second node because the first one is late. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class HedgedRequestTest extends CallerFixture {

    /** Requests by which the latency of the route is learned, and hedges and repeats are paid for. */
    private static final int LEARNED = 60;
    /** Requests of which one at least has to be hedged. */
    private static final int LATE = 30;
    /** Time for which a node that is late leaves a request unanswered, in milliseconds. */
    private static final int LATE_MILLIS = 300;

    /** A free server, slower than one that has reported nothing is taken to be, so that both are used. */
    private static final AdmissionLoad SLOWER_THAN_UNKNOWN = new AdmissionLoad(0, 0, 4, 200, false, false);

    private static final String WHOLE_ANSWER = "\r\n\r\n";

    private final AtomicInteger hedges = new AtomicInteger();
    private final CountDownLatch withdrawn = new CountDownLatch(1);
    private volatile boolean late;

    @Override
    long hedgesPerMille() {
        return 200;
    }

    @Test
    void should_deliver_the_answer_to_a_hedge_and_withdraw_the_late_attempt() throws Exception {
        // given
        start(() -> {
            for (Socket link = nodes.accept(); true; link = nodes.accept()) {
                Socket accepted = link;
                start(() -> serve(accepted));
            }
        });

        // when
        AtomicInteger answered = new AtomicInteger();
        start(() -> {
            try (Socket caller = new Socket()) {
                caller.connect(new InetSocketAddress(callers.host(), callers.port()));
                caller.setSoTimeout((int) LONGEST_TEST_MILLIS);
                for (int i = 0; i < LEARNED + LATE && withdrawn.getCount() > 0; i++) {
                    late = i >= LEARNED;
                    write(
                            caller,
                            "GET /items HTTP/1.1\r\nHost: shop\r\n" + RequestFields.ATTEMPT_ID + ": " + i + "\r\n\r\n");
                    readAnswer(caller.getInputStream());
                    answered.incrementAndGet();
                }
            } finally {
                eventloop.execute(eventloop::breakEventloop);
            }
        });
        eventloop.delay(LONGEST_TEST_MILLIS, eventloop::breakEventloop);
        eventloop.run();

        // then
        assertThat(hedges.get()).as("hedges").isPositive();
        assertThat(withdrawn.getCount())
                .as("late attempts that were not withdrawn")
                .isZero();
        assertThat(answered.get()).isGreaterThan(LEARNED);
    }

    private static void readAnswer(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(WHOLE_ANSWER) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection should stay open");
            }
            head.append((char) next);
        }
        assertThat(head.toString()).startsWith("HTTP/1.1 200");
    }

    private void serve(Socket link) throws Exception {
        try (link) {
            FrameCodec<RelayFrame> codec = new FrameCodec<>(RelayFrame.getDefaultInstance(), MAX_FRAME_BYTES);
            byte[] buffer = new byte[PIECE_BYTES];
            boolean hedged = false;
            for (int length = link.getInputStream().read(buffer);
                    length >= 0;
                    length = link.getInputStream().read(buffer)) {
                codec.received(buffer, 0, length);
                for (RelayFrame frame = codec.next(); frame != null; frame = codec.next()) {
                    if (frame.hasOpen()) {
                        hedged = frame.getOpen().getHedged();
                        hedges.addAndGet(hedged ? 1 : 0);
                    }
                    if (frame.hasEnd() && late && !hedged && isWithdrawn(link)) {
                        withdrawn.countDown();
                        return;
                    }
                    if (frame.hasEnd()) {
                        answer(link, codec);
                    }
                }
            }
        }
    }

    /** Waits for as long as a late node does, and returns whether the request was withdrawn meanwhile. */
    private static boolean isWithdrawn(Socket link) throws IOException {
        link.setSoTimeout(LATE_MILLIS);
        try {
            return link.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            link.setSoTimeout(0);
        }
    }

    private static void answer(Socket link, FrameCodec<RelayFrame> codec) throws IOException {
        send(
                link,
                codec,
                RelayFrame.newBuilder()
                        .setAccepted(RelayAccepted.getDefaultInstance())
                        .build());
        RelayAnswer.Builder head = RelayAnswer.newBuilder()
                .setStatus(200)
                .setBodyLength(0)
                .setLoad(RelayFrames.load(SLOWER_THAN_UNKNOWN, StoreVersions.NONE));
        send(link, codec, RelayFrame.newBuilder().setAnswer(head).build());
        send(
                link,
                codec,
                RelayFrame.newBuilder().setEnd(RelayEnd.getDefaultInstance()).build());
    }
}
