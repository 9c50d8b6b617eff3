package org.verbenamast.it;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.verbenamast.core.model.Address;
import org.verbenamast.it.deploy.Http;
import org.verbenamast.it.deploy.Processes;
import org.verbenamast.it.deploy.RelayFleet;
import org.verbenamast.it.deploy.Wiring;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Crowds of clients that keep to no limit, whose requests find servers that are frozen. The process lives, its memory
 * and descriptors stay below a bound, and an ordinary request is answered once the servers run again, while the crowd
 * stays connected.
 */
class CrowdTest {

    /** The options of the deployment, with half of its heap, so that a small crowd can fill it. */
    private static final List<String> JVM_FLAGS = List.of(
            "-Xms16m",
            "-Xmx40m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Dio.netty.leakDetection.level=disabled",
            "-Dio.netty.noUnsafe=true");
    /** The crowd may fill no more than this, in bytes, and open no more connections. */
    private static final String LIMITS = "{\"heldBytes\": 8000000, \"connections\": 200}";
    /** The heap of 40 MB and twice as much for everything else, in KiB. */
    private static final long MAX_RESIDENT_KIB = 120 * 1024;
    /** The connections of the crowd, and as many for everything else. */
    private static final int MAX_DESCRIPTORS = 400;

    private static final int CROWD = 150;
    private static final int HOSTS = 3;
    private static final int BODY_BYTES = 1024 * 1024;
    private static final int CONNECT_MILLIS = 2_000;
    private static final long CROWD_MILLIS = 2_000;
    private static final long MOST_WAIT_MILLIS = 30_000;

    private static RelayFleet fleet;
    private static int attempts;

    /** What each client of a crowd sends. It stays connected afterwards and reads nothing. */
    private enum Crowd {
        SHORT_HEADER_LINES(client -> head(client) + "a:\r\n".repeat(3_800) + "\r\n"),
        SHORT_HEADER_LINES_WITHOUT_END(client -> head(client) + "a:\r\n".repeat(3_800)),
        ODD_HEADER_LINES(client -> head(client) + "\u0001\r\n: \r\nb\r\n".repeat(1_000)),
        HEADS_OVER_THE_LIMIT(client -> head(client) + "Long: " + "x".repeat(BODY_BYTES)),
        EMPTY_LINES_WITHOUT_END(client -> "\r\n".repeat(BODY_BYTES / 2)),
        WHOLE_BODIES_THAT_STOP_SHORT(
                client -> head(client) + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + "x".repeat(BODY_BYTES - 1)),
        CHUNKED_BODIES_THAT_STOP_SHORT(
                client -> head(client) + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(100_000)),
        TRAILERS_WITHOUT_END(
                client -> head(client) + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + "a:\r\n".repeat(3_800)),
        REQUESTS_BEHIND_ONE_ANOTHER(client -> (head(client) + "\r\n").repeat(2_000)),
        UNREAD_ANSWERS(client -> (head(client) + "Content-Length: 100000\r\n\r\n" + "x".repeat(100_000)).repeat(10)),
        ALL_AT_ONCE(client -> values()[client % (values().length - 1)].text.apply(client));

        private final IntFunction<String> text;

        Crowd(IntFunction<String> text) {
            this.text = text;
        }

        private static String head(int client) {
            return "POST /" + (client % 2 == 0 ? "book" : "stock") + "/item HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                    + "X-Verbenamast-Attempt-Id: crowd-" + client + "\r\nX-Verbenamast-Deadline-Ms: 2500\r\n";
        }
    }

    /** The addresses of a node beside that for callers. */
    private enum Endpoint {
        READY {
            @Override
            String address() {
                return fleet.ready(0);
            }
        },
        HEARTBEATS {
            @Override
            String address() {
                return fleet.notices(0);
            }
        },
        METRICS {
            @Override
            String address() {
                return fleet.metrics(0);
            }
        },
        PEERS {
            @Override
            String address() {
                return fleet.peers(0);
            }
        };

        abstract String address();
    }

    @BeforeAll
    static void start() throws IOException {
        fleet = RelayFleet.start(
                Path.of("..").toAbsolutePath().normalize(), Path.of("target", "crowd"), HOSTS, Wiring.DIRECT);
        fleet.startRelaysWith(JVM_FLAGS, LIMITS);
    }

    @AfterAll
    static void stop() throws IOException {
        fleet.close();
    }

    /** Starts the relay of the first host again, so that each case has a fresh process. */
    private static void restart() throws Exception {
        fleet.killRelay(0);
        fleet.startRelay(0);
        assertThat(isServed()).as("served before the crowd").isTrue();
    }

    private static boolean isServed() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MOST_WAIT_MILLIS);
        while (System.nanoTime() < end) {
            try {
                if (Http.send(fleet.request(0, "/book/slot", "ordinary-" + ++attempts))
                                .statusCode()
                        == 200) {
                    return true;
                }
            } catch (IOException e) {
                // Not served yet; the next attempt tells.
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        return false;
    }

    private static List<Socket> gather(String address, IntFunction<String> text) throws Exception {
        Address target = Address.parse(address);
        List<Socket> crowd = new ArrayList<>();
        List<Thread> senders = new ArrayList<>();
        for (int client = 0; client < CROWD; client++) {
            Socket socket = new Socket();
            crowd.add(socket);
            byte[] bytes = text.apply(client).getBytes(StandardCharsets.ISO_8859_1);
            Thread sender = new Thread(() -> send(socket, target, bytes));
            sender.setDaemon(true);
            senders.add(sender);
            sender.start();
        }
        TimeUnit.MILLISECONDS.sleep(CROWD_MILLIS);
        return crowd;
    }

    private static void send(Socket socket, Address target, byte[] bytes) {
        try {
            socket.connect(new InetSocketAddress(target.host(), target.port()), CONNECT_MILLIS);
            socket.getOutputStream().write(bytes);
        } catch (IOException e) {
            // The node may refuse such a client, or close its connection.
        }
    }

    private static void assertSound() throws Exception {
        assertThat(fleet.relay(0).isAlive()).as("the process lives").isTrue();
        assertThat(isServed()).as("an ordinary request is answered").isTrue();
        assertThat(fleet.relay(0).isAlive()).as("the process still lives").isTrue();
        Path process = Path.of("/proc", Long.toString(fleet.relay(0).pid()));
        long peakKib = Files.readAllLines(process.resolve("status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .sum();
        assertThat(peakKib).as("peak of the resident memory, in KiB").isBetween(1L, MAX_RESIDENT_KIB);
        try (Stream<Path> open = Files.list(process.resolve("fd"))) {
            assertThat(open.count()).as("open descriptors").isLessThan(MAX_DESCRIPTORS);
        }
    }

    private static void shouldStaySound(String address, IntFunction<String> text) throws Exception {
        for (int host = 0; host < HOSTS; host++) {
            assertThat(Processes.freeze(fleet.server(host)).waitFor()).isZero();
        }
        List<Socket> crowd = gather(address, text);
        try {
            for (int host = 0; host < HOSTS; host++) {
                assertThat(Processes.wake(fleet.server(host)).waitFor()).isZero();
            }
            assertSound();
        } finally {
            for (Socket socket : crowd) {
                socket.close();
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Crowd.class)
    void should_serve_on_when_a_crowd_of_callers_keeps_to_no_limit(Crowd crowd) throws Exception {
        restart();
        shouldStaySound(fleet.callers(0), crowd.text);
    }

    @ParameterizedTest
    @EnumSource(Endpoint.class)
    void should_serve_on_when_a_crowd_comes_to_another_address(Endpoint endpoint) throws Exception {
        restart();
        shouldStaySound(endpoint.address(), Crowd.ALL_AT_ONCE.text);
    }

    @Test
    void should_serve_on_when_frames_of_other_nodes_do_not_end() throws Exception {
        restart();
        // A frame of 250 KiB by its prefix, of which all but the last byte arrives.
        shouldStaySound(fleet.peers(0), client -> "\u0080\u00d0\u000f" + "\n".repeat(250 * 1024 - 1));
    }
}
