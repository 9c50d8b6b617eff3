package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system on one machine, built and started as the deploy file says. */
final class Node implements AutoCloseable {

    /** Bounds of the sheet of Member Paint Orders, the small deployment. */
    static final int DRAIN_MS = 2_000;
    static final int GRACE_S = 6;
    static final int HOLD_MAX_MS = 10_000;
    static final int CONTACT_MS = 3_000;
    static final int HEARTBEAT_MS = 1_500;

    final String name;
    final String ip;
    final int app;
    final int outbound;
    final int ready;
    final int control;
    private final int peers;
    private final int metrics;
    private final String zone;
    private final String service;
    private final String store;
    private final Path folder;
    private final Recorder record;
    private long startedAt;
    private long startupMillis;
    private Process process;

    Node(int number, String service, Store0 store, Path folder, Recorder record) throws IOException {
        this.name = "sidecar-amman-" + "abc".charAt(number % 3) + '-' + number;
        this.ip = store.ip();
        List<Integer> ports = Ports.free(ip, 6);
        this.app = ports.get(0);
        this.outbound = ports.get(1);
        this.ready = ports.get(2);
        this.control = ports.get(3);
        this.peers = ports.get(4);
        this.metrics = ports.get(5);
        this.zone = "amman-" + "abc".charAt(number % 3);
        this.service = service;
        this.store = store.ip() + ':' + store.port();
        this.folder = folder;
        this.record = record;
    }

    /** The address of the store. */
    record Store0(String ip, int port) {}

    String appAddress() {
        return ip + ':' + app;
    }

    String service() {
        return service;
    }

    String zone() {
        return zone;
    }

    /** Starts the process with the settings that the platform fills into the project's template. */
    void start() throws IOException {
        String settings = Files.readString(Path.of("deploy/settings.json.template"))
                .replace("{{node|json}}", quote(name))
                .replace("{{zone|json}}", quote(zone))
                .replace("{{service|json}}", quote(service))
                .replace("{{appAddr|json}}", quote(appAddress()))
                .replace("{{listen.outbound|json}}", quote(ip + ':' + outbound))
                .replace("{{listen.ready|json}}", quote(ip + ':' + ready))
                .replace("{{listen.control|json}}", quote(ip + ':' + control))
                .replace("{{ip}}", ip)
                .replace("{{portRange.0}}", Integer.toString(peers))
                .replace("{{portRange.1}}", Integer.toString(metrics))
                .replace("{{platform.address|json}}", quote(store))
                .replace("{{bounds.drainMs}}", Integer.toString(DRAIN_MS))
                .replace("{{bounds.graceS}}", Integer.toString(GRACE_S))
                .replace("{{bounds.holdMaxMs}}", Integer.toString(HOLD_MAX_MS));
        if (settings.contains("{{")) {
            throw new IOException("the template has a placeholder that this script does not know: " + settings);
        }
        Path file = folder.resolve(name + ".settings");
        Files.writeString(file, settings);
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().put("VERBENAMAST_NODE_FILE", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".out").toFile()));
        startedAt = Recorder.now();
        process = builder.start();
        record.write("node %s starts, process %d", name, process.pid());
    }

    private static String quote(String text) {
        return '"' + text + '"';
    }

    /** Sends SIGTERM; {@link #awaitEnd} waits. */
    void terminate() {
        record.write("node %s gets SIGTERM", name);
        process.destroy();
    }

    /** Waits for the end of the process; kills it after the grace period, as the platform does. */
    void awaitEnd() throws InterruptedException {
        if (!process.waitFor(GRACE_S, TimeUnit.SECONDS)) {
            record.write("node %s gets SIGKILL after the grace period", name);
            process.destroyForcibly();
            process.waitFor();
        }
        record.write("node %s has ended with status %d", name, process.exitValue());
    }

    /** Returns whether the process runs. */
    boolean isAlive() {
        return process.isAlive();
    }

    void kill() throws InterruptedException {
        record.write("node %s gets SIGKILL", name);
        process.destroyForcibly();
        process.waitFor();
    }

    /** Waits until the process accepts connections for check-ins. */
    void awaitListening() throws IOException {
        long until = Recorder.now() + 20_000;
        while (true) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, control), 500);
                startupMillis = Recorder.now() - startedAt;
                record.write("node %s listens, %d ms after its start", name, startupMillis);
                return;
            } catch (IOException e) {
                if (Recorder.now() > until || !process.isAlive()) {
                    throw e;
                }
                Threads.sleep(5);
            }
        }
    }

    /** Returns how long the last start took until the process accepted connections. */
    long startupMillis() {
        return startupMillis;
    }

    /** Returns whether the node answers the platform's question for readiness with 200. */
    boolean isReady() {
        try {
            String head = new String(
                    Wire.call(ip, ready, "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1_000),
                    StandardCharsets.ISO_8859_1);
            return head.startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
