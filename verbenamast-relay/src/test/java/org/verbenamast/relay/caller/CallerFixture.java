package org.verbenamast.relay.caller;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.activej.eventloop.Eventloop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.client.ClientLimits;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.entry.EntryEffect;
import org.verbenamast.core.keys.KeyLeaseTimings;
import org.verbenamast.core.keys.KeyMap;
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
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.net.ClientRegister;
import org.verbenamast.relay.peer.PeerPool;
import org.verbenamast.relay.telemetry.RequestCounts;
import org.verbenamast.wire.FrameCodec;
import org.verbenamast.wire.generated.RelayFrame;

/** A caller server and the core behind it, with two members whose node the test plays. */
abstract class CallerFixture {

    static final Zone ZONE = new Zone("a");
    static final AdmissionLoad IDLE = new AdmissionLoad(0, 0, 4, 50, false, false);
    static final long LONGEST_TEST_MILLIS = 20_000;
    static final long HEAP_BYTES = 80_000_000;
    static final int PIECE_BYTES = 8 * 1024;
    static final int MAX_FRAME_BYTES = 1024 * 1024;

    final Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
    final RelayCore core = new RelayCore(
            new RelaySettings(
                    "node",
                    7,
                    ZONE,
                    "frontend",
                    new Address("127.0.0.1", 2),
                    new Address("127.0.0.1", 1),
                    KeyLeaseTimings.DEFAULT,
                    2_000,
                    new RelayLimits(
                            RelayLimits.DEFAULT.host(),
                            RelayLimits.DEFAULT.caps(),
                            RelayLimits.DEFAULT.clients(),
                            hedgesPerMille()),
                    0,
                    () -> 0.5),
            TransitionListener.NONE);
    final RelayLoop loop = new RelayLoop(eventloop, core, new RequestCounts(), this::run);
    final PeerPool peers = new PeerPool(eventloop);
    final List<Thread> threads = new ArrayList<>();
    ServerSocket nodes;
    final ClientRegister clients = new ClientRegister(ClientLimits.DEFAULT.resolve(HEAP_BYTES, 4_000));
    CallerServer server;
    Address callers;

    /** Returns the limit of hedges that the node is configured with. */
    long hedgesPerMille() {
        return 0;
    }

    @BeforeEach
    void start() throws IOException {
        nodes = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            callers = new Address("127.0.0.1", probe.getLocalPort());
        }
        CallerSettings settings = new CallerSettings(callers, "frontend", ClientLimits.DEFAULT);
        server = new CallerServer(eventloop, settings, clients, core, loop, peers, new RequestCounts());
        server.listen();
        eventloop.keepAlive(true);
        putManifest(1, false);
        List<StoredRow> members = new ArrayList<>();
        for (String node : List.of("first", "second")) {
            Member member = new Member(
                    node,
                    new Address("127.0.0.1", nodes.getLocalPort()),
                    ZONE,
                    "stock",
                    incarnation(node),
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

    static ServerIncarnation incarnation(String node) {
        return new ServerIncarnation("stock-" + node, 1);
    }

    /** Puts a manifest with one route, to a service whose keys are divided among its servers or not. */
    void putManifest(long version, boolean keyed) {
        putManifest(version, keyed, RequestKind.SAFE);
    }

    void putManifest(long version, boolean keyed, RequestKind kind) {
        Route route = new Route("r", "shop", "/", kind, 60_000, 30_000, 1, 3, false, List.of(new Split("stock", 1)));
        ServiceRules rules = new ServiceRules("stock", 10, 0, keyed);
        RequestLimits limits = new RequestLimits(16_384, 64 * 1024 * 1024, 60_000, 60_000);
        core.manifest(new Manifest(version, List.of(route), List.of(rules), limits, List.of()), 0, effect -> {});
    }

    /** Has the loop learn of a new version of the key map. */
    void putKeys(KeyMap keys, long version) {
        StoredRow row = new StoredRow(new RowRef(RowTable.KEYS, "stock"), version, Optional.of(keys));
        loop.run((now, effects) -> core.onRows(List.of(row), now, effects));
    }

    void run(Effect effect) {
        if (effect instanceof EntryEffect entry) {
            server.run(entry);
        }
    }

    interface Task {
        void run() throws Exception;
    }

    void start(Task task) {
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

    static void send(Socket link, FrameCodec<RelayFrame> codec, RelayFrame frame) throws IOException {
        link.getOutputStream().write(codec.encode(frame));
    }

    static void write(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
