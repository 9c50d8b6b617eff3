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
import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import io.activej.eventloop.Eventloop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.client.ClientLimits;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.entry.EntryEffect;
import org.verbenamast.core.gate.crash.CrashReport;
import org.verbenamast.core.gate.crash.CrashReports;
import org.verbenamast.core.gate.crash.FingerprintDigest;
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
import org.verbenamast.core.relay.RelayLimits;
import org.verbenamast.core.relay.RelaySettings;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.net.ClientRegister;
import org.verbenamast.relay.peer.PeerPool;
import org.verbenamast.relay.telemetry.RequestCounts;
import org.verbenamast.wire.FrameCodec;
import org.verbenamast.wire.WireException;
import org.verbenamast.wire.generated.RelayAnswer;
import org.verbenamast.wire.generated.RelayEnd;
import org.verbenamast.wire.generated.RelayFrame;

import static org.assertj.core.api.Assertions.assertThat;

class CallerServerTest {

    private static final Zone ZONE = new Zone("a");
    /** Number of loop steps after which a wait fails. */
    private static final int MAX_STEPS = 20_000;

    private static final int MAX_FRAME_BYTES = 256 * 1024;
    private static final long HEAP_BYTES = 80_000_000;
    private static final int PIECE_BYTES = 8 * 1024;
    /** More than a node keeps before it begins to deliver an answer. */
    private static final int ANSWER_BYTES = 512 * 1024;

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
                    RelayLimits.DEFAULT,
                    0,
                    () -> 0.5),
            TransitionListener.NONE);
    private final RelayLoop loop = new RelayLoop(eventloop, core, new RequestCounts(), this::run);
    private final PeerPool peers = new PeerPool(eventloop);
    private ServerSocket peer;
    private final ClientRegister clients = new ClientRegister(ClientLimits.DEFAULT.resolve(HEAP_BYTES, 4_000));
    private CallerServer server;
    private Socket caller;

    @BeforeEach
    void start() throws IOException {
        peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        int port = freePort();
        CallerSettings settings = new CallerSettings(new Address("127.0.0.1", port), "frontend", ClientLimits.DEFAULT);
        server = new CallerServer(eventloop, settings, clients, core, loop, peers, new RequestCounts());
        server.listen();
        eventloop.keepAlive(true);
        caller = new Socket();
        caller.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        server.close();
        peers.close();
        peer.close();
    }

    private static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort();
        }
    }

    private void run(Effect effect) {
        if (effect instanceof EntryEffect entry) {
            server.run(entry);
        }
    }

    private void runUntil(BooleanSupplier condition) {
        for (int step = 0; step < MAX_STEPS && !condition.getAsBoolean(); step++) {
            eventloop.delay(1, eventloop::breakEventloop);
            eventloop.run();
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    private void send(String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private boolean received(int bytes) {
        try {
            return caller.getInputStream().available() >= bytes;
        } catch (IOException e) {
            throw new AssertionError("the connection should still be open", e);
        }
    }

    private void addOneServer() {
        addOneServer(RequestKind.SAFE);
    }

    private void addOneServer(RequestKind kind) {
        Route route =
                new Route("items", "shop", "/", kind, 60_000, 30_000, 1, 1, false, List.of(new Split("stock", 1)));
        ServiceRules rules = new ServiceRules("stock", 10, 0, false);
        core.manifest(
                new Manifest(1, List.of(route), List.of(rules), RequestLimits.DEFAULT, List.of()), 0, effect -> {});
        Member member = new Member(
                "other",
                new Address("127.0.0.1", peer.getLocalPort()),
                ZONE,
                "stock",
                new ServerIncarnation("stock-1", 1),
                4,
                ServerState.READY);
        StoredRow row = new StoredRow(new RowRef(RowTable.MEMBERS, "other"), 1, Optional.of(member));
        core.onSnapshot(List.of(row), 1, RelayLoop.now(), effect -> {});
    }

    @Test
    void should_close_after_the_body_of_an_answered_request_when_the_caller_asked_to_close() throws IOException {
        // given
        send("POST /items HTTP/1.1\r\nHost: shop\r\nConnection: close\r\nContent-Length: 4\r\n\r\n");
        runUntil(() -> received("HTTP/1.1 503".length()));
        byte[] answer =
                caller.getInputStream().readNBytes(caller.getInputStream().available());
        assertThat(new String(answer, StandardCharsets.ISO_8859_1)).contains("connection: close");
        caller.setSoTimeout(5_000);

        // when
        send("body");
        for (int step = 0; step < 50; step++) {
            eventloop.delay(1, eventloop::breakEventloop);
            eventloop.run();
        }

        // then
        assertThat(caller.getInputStream().read()).isEqualTo(-1);
    }

    @Test
    void should_wait_for_the_body_and_refuse_when_a_request_may_be_one_that_crashes_servers() throws IOException {
        // given
        FingerprintDigest poison = new FingerprintDigest("frontend", "/items");
        poison.update(new byte[] {'x'});
        CrashReport report = new CrashReport("stock-1@1", List.of(poison.fingerprint()));
        addOneServer();
        for (String node : List.of("node-1", "node-2")) {
            StoredRow row = new StoredRow(
                    new RowRef(RowTable.CRASHES, node), 2, Optional.of(new CrashReports(List.of(report))));
            core.onRows(List.of(row), RelayLoop.now(), effect -> {});
        }

        // when
        send("POST /items HTTP/1.1\r\nHost: shop\r\n" + RequestFields.ATTEMPT_ID + ": 1\r\nContent-Length: 1\r\n\r\n");
        runUntil(() -> !server.idle());
        assertThat(core.entry().isIdle()).isTrue();
        send("x");
        runUntil(() -> received("HTTP/1.1 503".length()));

        // then
        byte[] answer =
                caller.getInputStream().readNBytes(caller.getInputStream().available());
        assertThat(new String(answer, StandardCharsets.ISO_8859_1))
                .startsWith("HTTP/1.1 503")
                .containsPattern("(?i)retry-after: [6-9][0-9]|(?i)retry-after: 1[0-2][0-9]");
        assertThat(server.idle()).isTrue();
    }

    @Test
    void should_be_idle_after_the_only_answer_was_cut_off() throws IOException {
        // given
        addOneServer();
        send("GET /items HTTP/1.1\r\nHost: shop\r\n" + RequestFields.ATTEMPT_ID + ": 1\r\n\r\n");
        runUntil(() -> !server.idle());

        // when
        server.run(new EntryEffect.AbortAnswer(1));

        // then
        assertThat(server.idle()).isTrue();
    }

    @Test
    void should_break_off_an_answer_whose_rest_has_not_come_by_the_deadline() throws IOException {
        // given
        addOneServer();
        send("GET /items HTTP/1.1\r\nHost: shop\r\n" + RequestFields.ATTEMPT_ID + ": 1\r\n" + RequestFields.TIME_LEFT
                + ": 400\r\n\r\n");
        runUntil(() -> !server.idle());
        int sentBytes = 0;
        try (Socket node = peer.accept()) {
            FrameCodec<RelayFrame> codec = new FrameCodec<>(RelayFrame.getDefaultInstance(), MAX_FRAME_BYTES);
            node.getOutputStream()
                    .write(codec.encode(RelayFrame.newBuilder()
                            .setAnswer(RelayAnswer.newBuilder().setStatus(200).setBodyLength(ANSWER_BYTES))
                            .build()));
            RelayFrame piece = RelayFrame.newBuilder()
                    .setData(ByteString.copyFrom(new byte[PIECE_BYTES]))
                    .build();
            while (sentBytes < ANSWER_BYTES - PIECE_BYTES) {
                node.getOutputStream().write(codec.encode(piece));
                sentBytes += PIECE_BYTES;
            }

            // when
            runUntil(() -> received("HTTP/1.1 200".length()));
            runUntil(server::idle);
        }

        // then
        caller.setSoTimeout(5_000);
        byte[] answer = caller.getInputStream().readAllBytes();
        assertThat(new String(answer, StandardCharsets.ISO_8859_1))
                .startsWith("HTTP/1.1 200")
                .contains("content-length: " + ANSWER_BYTES);
        assertThat(answer).hasSizeLessThan(ANSWER_BYTES);
        assertThat(core.entry().isIdle()).isTrue();
    }

    @Test
    void should_report_the_receipt_of_a_large_answer_to_the_node_that_sent_it() throws IOException {
        // given
        addOneServer(RequestKind.DOWNLOAD);
        send("GET /items HTTP/1.1\r\nHost: shop\r\n" + RequestFields.ATTEMPT_ID + ": 1\r\n\r\n");
        runUntil(() -> !server.idle());
        FrameCodec<RelayFrame> codec = new FrameCodec<>(RelayFrame.getDefaultInstance(), MAX_FRAME_BYTES);
        List<RelayFrame.BodyCase> received = new ArrayList<>();
        try (Socket node = peer.accept()) {
            runUntil(() -> receivedFrames(node, codec, received).contains(RelayFrame.BodyCase.END));

            // when
            for (RelayFrame frame : List.of(
                    RelayFrame.newBuilder()
                            .setAnswer(RelayAnswer.newBuilder().setStatus(200).setBodyLength(0))
                            .build(),
                    RelayFrame.newBuilder()
                            .setEnd(RelayEnd.getDefaultInstance())
                            .build())) {
                node.getOutputStream().write(codec.encode(frame));
            }
            runUntil(() -> receivedFrames(node, codec, received).contains(RelayFrame.BodyCase.RECEIVED));
        }

        // then
        assertThat(received)
                .containsExactly(RelayFrame.BodyCase.OPEN, RelayFrame.BodyCase.END, RelayFrame.BodyCase.RECEIVED);
    }

    private static List<RelayFrame.BodyCase> receivedFrames(
            Socket node, FrameCodec<RelayFrame> codec, List<RelayFrame.BodyCase> received) {
        try {
            byte[] bytes =
                    node.getInputStream().readNBytes(node.getInputStream().available());
            codec.received(bytes, 0, bytes.length);
            for (RelayFrame frame = codec.next(); frame != null; frame = codec.next()) {
                received.add(frame.getBodyCase());
            }
            return received;
        } catch (IOException | WireException e) {
            throw new AssertionError("frames of the node should be readable", e);
        }
    }
}
