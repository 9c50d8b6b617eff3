package org.verbenamast.it.bench;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenamast.core.model.Address;
import org.verbenamast.it.deploy.Http;
import org.verbenamast.it.deploy.ProcessSample;
import org.verbenamast.it.deploy.RelayFleet;
import org.verbenamast.it.deploy.Wiring;
import org.verbenamast.platform.RequestFields;

/** Measures the processor time of a relay, from the kernel's account: its start, its idle time and its requests. */
public final class CostBench {

    private static final int HOSTS = 3;
    private static final int IDLE_SECONDS = 10;
    private static final int REQUESTS_PER_NODE = 300;
    private static final long REQUEST_INTERVAL_MILLIS = 33;
    private static final long POLL_MILLIS = 100;
    private static final long START_MILLIS = 30_000;
    private static final int SOCKET_MILLIS = 10_000;
    private static final int OK = 200;

    private final RelayFleet fleet;
    private final AtomicInteger lastId = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private long cpuMillis;

    private CostBench(RelayFleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Runs the measurement. Each node takes 300 requests a span from callers, one third of them for itself on average,
     * and 300 from the nodes.
     *
     * @param args the project's folder, a title, and the command that starts a relay
     * @throws IOException if the fleet does not get ready
     */
    public static void main(String[] args) throws IOException {
        Path root = Path.of(args[0]).toAbsolutePath().normalize();
        Path folder = Bench.folder(root).resolve("cost-nodes");
        List<String> command = Arrays.asList(args).subList(2, args.length);
        try (RelayFleet fleet = RelayFleet.start(root, folder, HOSTS, Wiring.DIRECT, command)) {
            CostBench bench = new CostBench(fleet);
            bench.awaitReady();
            System.out.println("| processor ms of a node (mean of " + HOSTS + ") | " + args[1] + " |\n|---|---|");
            bench.print("start until ready");
            NodeCost.pause(IDLE_SECONDS);
            bench.print(IDLE_SECONDS + " s idle");
            for (String span : List.of("first", "second", "third")) {
                bench.send(false);
                bench.print(span + " " + REQUESTS_PER_NODE + " requests, new connections");
            }
            bench.send(true);
            bench.print(REQUESTS_PER_NODE + " requests, kept connections");
            System.out.println("| requests not answered with 200 | " + bench.failed + " |");
        }
        System.exit(0);
    }

    private void awaitReady() throws IOException {
        long latest = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
        for (int host = 0; host < HOSTS; host++) {
            while (!isReady(host)) {
                if (System.nanoTime() > latest) {
                    throw new IOException("node should be ready within " + START_MILLIS + " ms: " + host);
                }
                pauseMillis(POLL_MILLIS);
            }
        }
    }

    private boolean isReady(int host) {
        try {
            HttpResponse<byte[]> response = Http.send(Http.to(fleet.ready(host), "/ready"));
            return response.statusCode() == OK;
        } catch (IOException e) {
            // Refused while the node is starting; awaitReady limits the time.
            return false;
        }
    }

    private void print(String span) throws IOException {
        long total = 0;
        for (int host = 0; host < HOSTS; host++) {
            total += ProcessSample.of(fleet.relay(host)).cpuMillis();
        }
        System.out.printf("| %s | %d |%n", span, (total - cpuMillis) / HOSTS);
        cpuMillis = total;
    }

    private void send(boolean keepsConnections) throws IOException {
        List<Thread> callers = new ArrayList<>();
        for (int host = 0; host < HOSTS; host++) {
            Address address = Address.parse(fleet.callers(host));
            Thread caller = new Thread(() -> call(address, keepsConnections));
            caller.start();
            callers.add(caller);
        }
        try {
            for (Thread caller : callers) {
                caller.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private void call(Address address, boolean keepsConnections) {
        Socket kept = null;
        for (int i = 0; i < REQUESTS_PER_NODE; i++) {
            try {
                Socket socket = kept == null ? connect(address) : kept;
                if (!ask(socket, i)) {
                    failed.incrementAndGet();
                }
                kept = keepsConnections ? socket : null;
                if (!keepsConnections) {
                    socket.close();
                }
                pauseMillis(REQUEST_INTERVAL_MILLIS);
            } catch (IOException e) {
                System.err.println("request failed: " + e);
                failed.incrementAndGet();
                kept = null;
            }
        }
    }

    private static Socket connect(Address address) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(SOCKET_MILLIS);
        socket.connect(new InetSocketAddress(address.host(), address.port()), SOCKET_MILLIS);
        return socket;
    }

    /** Sends two requests of three to the service of two hosts, the others with a body to the service of one. */
    private boolean ask(Socket socket, int number) throws IOException {
        String body = number % HOSTS == 0 ? "{\"item\": 1, \"count\": 2}" : "";
        String line = body.isEmpty() ? "GET /stock/items/" + number : "POST /book/orders";
        String request = line + " HTTP/1.1\r\nHost: 127.0.0.1\r\nAccept: application/json\r\nUser-Agent: bench\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n"
                + RequestFields.ATTEMPT_ID + ": bench-" + lastId.incrementAndGet() + "\r\n"
                + RequestFields.TIME_LEFT + ": 3000\r\n\r\n" + body;
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return read(new BufferedInputStream(socket.getInputStream()));
    }

    private static boolean read(InputStream in) throws IOException {
        String status = line(in);
        int length = 0;
        for (String field = line(in); !field.isEmpty(); field = line(in)) {
            String[] parts = field.toLowerCase(Locale.ROOT).split(":", 2);
            length = parts[0].equals("content-length") ? Integer.parseInt(parts[1].trim()) : length;
        }
        return in.readNBytes(length).length == length && status.startsWith("HTTP/1.1 " + OK);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("response should be complete but ended after: " + line);
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    private static void pauseMillis(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
