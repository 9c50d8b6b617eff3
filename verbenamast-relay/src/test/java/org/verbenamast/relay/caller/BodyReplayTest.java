package org.verbenamast.relay.caller;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.activej.eventloop.Eventloop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.entry.EntryEffect;
import org.verbenamast.core.keys.KeyLeaseTimings;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.manifest.RequestLimits;
import org.verbenamast.core.manifest.Route;
import org.verbenamast.core.manifest.ServiceRules;
import org.verbenamast.core.manifest.Split;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.core.relay.RelaySettings;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.peer.PeerPool;
import org.verbenamast.relay.telemetry.RequestCounts;
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
class BodyReplayTest {

    private static final Zone ZONE = new Zone("a");
    private static final AdmissionLoad IDLE = new AdmissionLoad(0, 0, 4, 50, false, false);
    private static final long LONGEST_TEST_MILLIS = 20_000;
    private static final int PIECE_BYTES = 8 * 1024;
    private static final int MAX_FRAME_BYTES = 1024 * 1024;
    /** Size of a body's beginning that an entry node reads before a node has accepted the request, in bytes. */
    private static final int KEPT_BYTES = 64 * 1024;

    /** What a node reports of a request that it has accepted and whose body it has received in part. */
    private enum FirstEnd {
        /** The server has not run it. */
        REFUSED {
            @Override
            RelayFrame frame() {
                return RelayFrames.refused(Refusal.SHED, 0, IDLE, StoreVersions.NONE);
            }
        },
        /** The server's connection broke. */
        BROKEN {
            @Override
            RelayFrame frame() {
                return RelayFrame.newBuilder()
                        .setFailed(RelayFailed.getDefaultInstance())
                        .build();
            }
        };

        abstract RelayFrame frame();
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
        };

        abstract boolean isDue(int received, boolean whole);

        abstract int heldFrom();
    }

    private final Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
    private final RelayCore core = new RelayCore(
            new RelaySettings(
                    "node",
                    7,
                    ZONE,
                    "frontend",
                    new Address("127.0.0.1", 2),
                    new Address("127.0.0.1", 1),
                    KeyLeaseTimings.DEFAULT,
                    2_000,
                    0,
                    () -> 0.5),
            TransitionListener.NONE);
    private final RelayLoop loop = new RelayLoop(eventloop, core, new RequestCounts(), this::run);
    private final PeerPool peers = new PeerPool(eventloop);
    private final List<Thread> threads = new ArrayList<>();
    private final List<Integer> receivedBytes = new CopyOnWriteArrayList<>();
    private final AtomicInteger opened = new AtomicInteger();
    private final CountDownLatch rest = new CountDownLatch(1);
    private ServerSocket nodes;
    private CallerServer server;
    private Address callers;

    @BeforeEach
    void start() throws IOException {
        nodes = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            callers = new Address("127.0.0.1", probe.getLocalPort());
        }
        server = new CallerServer(eventloop, callers, "frontend", core, loop, peers, new RequestCounts());
        server.listen();
        eventloop.keepAlive(true);
        Route route =
                new Route("r", "shop", "/", RequestKind.SAFE, 60_000, 30_000, 1, 3, List.of(new Split("stock", 1)));
        ServiceRules rules = new ServiceRules("stock", 10, 0, false);
        RequestLimits limits = new RequestLimits(16_384, 64 * 1024 * 1024, 60_000, 60_000);
        core.manifest(new Manifest(1, List.of(route), List.of(rules), limits), 0, effect -> {});
        List<StoredRow> members = new ArrayList<>();
        for (String node : List.of("first", "second")) {
            Member member = new Member(
                    node,
                    new Address("127.0.0.1", nodes.getLocalPort()),
                    ZONE,
                    "stock",
                    new ServerIncarnation("stock-" + node, 1),
                    4,
                    ServerState.READY);
            members.add(new StoredRow(new RowRef(RowTable.MEMBERS, node), 1, Optional.of(member)));
        }
        core.onSnapshot(members, 1, RelayLoop.now(), effect -> {});
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        peers.close();
        nodes.close();
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void run(Effect effect) {
        if (effect instanceof EntryEffect entry) {
            server.run(entry);
        }
    }

    private interface Task {
        void run() throws Exception;
    }

    private void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The other side has closed the connection.
            } catch (Exception e) {
                throw new AssertionError("the test's node or caller failed", e);
            }
        });
        threads.add(thread);
        thread.start();
    }

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
                    if (received >= acceptance.heldFrom()) {
                        rest.countDown();
                    }
                    if (first && accepted && !ended && received >= firstEndBytes) {
                        ended = true;
                        send(link, codec, firstEnd.frame());
                    }
                    if (frame.hasEnd() && !first) {
                        receivedBytes.add(received);
                        answer(link, codec);
                    }
                }
            }
        }
    }

    private static void send(Socket link, FrameCodec<RelayFrame> codec, RelayFrame frame) throws IOException {
        link.getOutputStream().write(codec.encode(frame));
    }

    private static void accept(Socket link, FrameCodec<RelayFrame> codec) throws IOException {
        send(
                link,
                codec,
                RelayFrame.newBuilder()
                        .setAccepted(RelayAccepted.getDefaultInstance())
                        .build());
    }

    private static void answer(Socket link, FrameCodec<RelayFrame> codec) throws IOException {
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
                        + "Transfer-Encoding: chunked\r\n\r\n");
        int atOnce = Math.min(acceptance.heldFrom(), bodyBytes);
        for (int sent = 0; sent < atOnce; sent += PIECE_BYTES) {
            write(caller, chunk(Math.min(PIECE_BYTES, atOnce - sent)));
        }
        if (acceptance.heldFrom() <= bodyBytes) {
            assertThat(rest.await(LONGEST_TEST_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        }
        write(caller, (bodyBytes > atOnce ? chunk(bodyBytes - atOnce) : "") + "0\r\n\r\n");
    }

    private static String chunk(int length) {
        return Integer.toHexString(length) + "\r\n" + "x".repeat(length) + "\r\n";
    }

    private static void write(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
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
