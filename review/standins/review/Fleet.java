package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment: machines with a node each, as the deploy file starts it, and stand-ins for all else. */
final class Fleet implements AutoCloseable {

    /** Pause between the check-ins of an instance, in milliseconds; the site of a case names it as heartbeatMs. */
    static volatile int beatMillis = 870;
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;
    private static final int CASE_SECONDS = 110;
    private static final String[] ZONES = {"jkt", "bdg", "smg", "sby"};

    /** A machine: a node with an instance beside it. */
    static final class Machine {
        final String node;
        final String zone;
        final String callers;
        final String ready;
        final String heartbeats;
        final String settings;
        final Instance instance;
        Process process;

        Machine(String node, String zone, String callers, String ready, String heartbeats, String settings, Instance i) {
            this.node = node;
            this.zone = zone;
            this.callers = callers;
            this.ready = ready;
            this.heartbeats = heartbeats;
            this.settings = settings;
            this.instance = i;
        }
    }

    private static int nextPort = 16_000 + (int) (ProcessHandle.current().pid() % 300) * 40;

    final Record record;
    final Store store;
    final List<Machine> machines = new ArrayList<>();
    private final Path folder;
    private final List<String> command;

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    /** A task of a stand-in. */
    interface Task {
        void run() throws Exception;
    }

    static Thread run(Task task) {
        Thread thread = daemon(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The stand-in's part ends with its connection or listener.
            }
        });
        thread.start();
        return thread;
    }

    /** Runs a case, with its time limit, and ends the process with its result. */
    static void main(Callable<Integer> play) {
        run(() -> {
            Thread.sleep(CASE_SECONDS * 1_000L);
            System.err.println("the case took too long");
            System.exit(COULD_NOT_RUN);
        });
        int result;
        try {
            result = play.call();
        } catch (Throwable e) {
            e.printStackTrace();
            result = COULD_NOT_RUN;
        }
        System.exit(result);
    }

    Fleet(Path caseFolder) throws IOException {
        this.folder = Files.createTempDirectory("review");
        this.record = new Record(caseFolder.resolve("record.txt"));
        this.store = new Store();
        this.command = command();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no line run");
        }
        return List.of(run.group(1).split(" "));
    }

    static void pause(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns a free port below the range from which the system takes the ports of outgoing connections. */
    static int freePort() throws IOException {
        for (int tries = 0; tries < 1_000; tries++) {
            int port = nextPort++;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // Another process has it.
            }
        }
        throw new IOException("no port is free");
    }

    private static String freeAddress() throws IOException {
        return "127.0.0.1:" + freePort();
    }

    /** Makes the instance of a machine. */
    private interface Maker {
        Instance make(String name, String zone, int port, String heartbeats);
    }

    Machine add(String service, Instance.Work work) throws IOException {
        return add(service, (name, zone, port, heartbeats) ->
                new Instance(name, service, zone, port, heartbeats, record, work));
    }

    Machine addKeyed(String service, Instance.Work work, Holdings holdings) throws IOException {
        return add(service, (name, zone, port, heartbeats) ->
                new KeyedInstance(name, service, zone, port, heartbeats, record, work, holdings));
    }

    private Machine add(String service, Maker maker) throws IOException {
        String zone = ZONES[machines.size() % ZONES.length];
        String node = "sidecar-" + zone + "-" + (machines.size() + 1);
        int app = freePort();
        String callers = freeAddress();
        String ready = freeAddress();
        String heartbeats = freeAddress();
        String settings = """
                {"node": "%s", "zone": "%s", "service": "%s", "server": "127.0.0.1:%d", "callers": "%s", "ready": "%s",
                 "heartbeats": "%s", "peers": "%s", "metrics": "%s", "store": "%s",
                 "drainMillis": 2000, "graceSeconds": 6, "longestHoldMillis": 10000}
                """.formatted(
                        node, zone, service, app, callers, ready, heartbeats, freeAddress(), freeAddress(),
                        store.address());
        String name = String.valueOf(machines.size() + 1);
        Instance instance = maker.make(name, zone, app, heartbeats);
        Machine machine = new Machine(node, zone, callers, ready, heartbeats, settings, instance);
        machines.add(machine);
        return machine;
    }

    void startNode(Machine machine) throws IOException {
        Path file = Files.writeString(folder.resolve(machine.node + ".json"), machine.settings);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("VERBENAMAST_NODE_FILE", file.toString());
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                folder.resolve(machine.node + ".log").toFile()));
        machine.process = builder.start();
    }

    /** Starts all machines and waits until all nodes are ready and the instances are known. */
    void start(String manifest) throws Exception {
        for (Machine machine : machines) {
            machine.instance.start();
        }
        startNodes(manifest);
        Thread.sleep(3_000);
    }

    /** Starts all nodes and waits until they are ready. */
    void startNodes(String manifest) throws Exception {
        store.put("op", "config", manifest);
        for (Machine machine : machines) {
            startNode(machine);
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        for (Machine machine : machines) {
            while (!isReady(machine)) {
                if (System.nanoTime() > until) {
                    throw new IOException(machine.node + " does not become ready");
                }
                Thread.sleep(100);
            }
        }
    }

    static boolean isReady(Machine machine) {
        try {
            return call(machine.ready, "GET", "/-/ready", "", 1_000) == 200;
        } catch (IOException e) {
            return false;
        }
    }

    static int call(String address, String method, String path, String body, int timeoutMillis) throws IOException {
        HttpURLConnection call =
                (HttpURLConnection) URI.create("http://" + address + path).toURL().openConnection();
        call.setRequestMethod(method);
        call.setConnectTimeout(timeoutMillis);
        call.setReadTimeout(timeoutMillis);
        if (!body.isEmpty()) {
            call.setDoOutput(true);
            call.setRequestProperty("Content-Type", "application/json");
            call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
        }
        int status = call.getResponseCode();
        try (var in = status < 400 ? call.getInputStream() : call.getErrorStream()) {
            if (in != null) {
                in.readAllBytes();
            }
        }
        return status;
    }

    /** Ends all nodes and deletes their settings and logs. */
    @Override
    public void close() {
        for (Machine machine : machines) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
        try {
            for (Machine machine : machines) {
                if (machine.process != null) {
                    machine.process.waitFor(5, TimeUnit.SECONDS);
                }
            }
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        } catch (IOException e) {
            System.err.println("can't delete " + folder + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
