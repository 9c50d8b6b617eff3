package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.BooleanSupplier;

/** A small deployment on one loopback address: the store, the nodes and the instances beside them. */
final class Deployment implements AutoCloseable {

    static final int KEYS = 65_536;
    static final String KEYED = "stockroom";
    static final String PLAIN = "orderdesk";
    static final String OTHER = "mapstore";

    private static final String MANIFEST =
            """
            {"version":7,"routes":[
            {"name":"r-stock","host":"HOST","prefix":"/stock/","kind":"safe","timeoutMs":1200,"targetLatencyMs":500,
             "priority":2,"service":"stockroom","maxAttempts":2},
            {"name":"r-order","host":"HOST","prefix":"/order/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":600,
             "priority":1,"service":"orderdesk","maxAttempts":2},
            {"name":"r-look","host":"HOST","prefix":"/look/","kind":"safe","timeoutMs":1200,"targetLatencyMs":500,
             "priority":2,"service":"mapstore","maxAttempts":2},
            {"name":"r-sheet","host":"HOST","prefix":"/sheet/","kind":"download","timeoutMs":5000,"targetLatencyMs":1000,
             "priority":2,"service":"orderdesk","maxAttempts":2}],
            "services":[
            {"name":"stockroom","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"coldStartS":3.0,
             "coldPerS":7.2,"sharded":true,"warmS":5.0,"grants":"heartbeat"},
            {"name":"orderdesk","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"coldStartS":3.0,
             "coldPerS":7.2},
            {"name":"mapstore","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"coldStartS":3.0,
             "coldPerS":7.2}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
            """;

    final Recorder record;
    final Requester requester;
    final Path folder;
    final List<Node> nodes = new ArrayList<>();
    final List<Instance> instances = new ArrayList<>();
    private final Store store;

    Deployment(Recorder record, String service, int size) throws IOException {
        this(record, Collections.nCopies(size, service));
    }

    /** Starts a node for each of the services named. */
    Deployment(Recorder record, List<String> services) throws IOException {
        this.record = record;
        this.requester = new Requester(record);
        this.folder = Files.createTempDirectory("verbenamast-review");
        String ip = "127." + (1 + (int) (Math.random() * 200)) + '.' + (1 + (int) (Math.random() * 200)) + ".7";
        int port = Ports.free(ip, 1).get(0);
        store = new Store(ip, port);
        store.put("op", "config", MANIFEST.replace("HOST", Requester.HOST).replace("\n", ""));
        for (int i = 0; i < services.size(); i++) {
            Node node = new Node(i + 1, services.get(i), new Node.Store0(ip, port), folder, record);
            nodes.add(node);
            node.start();
            node.awaitListening();
        }
    }

    Instance startInstance(String id, Node node, boolean sharded, int workMillis, int answerBytes) throws IOException {
        Instance instance = new Instance(id, node, sharded, workMillis, answerBytes, record);
        instances.add(instance);
        return instance;
    }

    /** Waits for a condition; the case can't run if it does not come about. */
    static void await(String what, int seconds, BooleanSupplier condition) {
        long until = Recorder.now() + seconds * 1_000L;
        while (!condition.getAsBoolean()) {
            if (Recorder.now() > until) {
                throw new IllegalStateException("waited in vain: " + what);
            }
            Threads.sleep(20);
        }
    }

    void awaitReady() {
        await("all nodes ready", 30, () -> nodes.stream().allMatch(Node::isReady));
    }

    boolean allKeysHeld() {
        return instances.stream().mapToInt(Instance::heldKeys).sum() == KEYS;
    }

    @Override
    public void close() {
        instances.forEach(Instance::close);
        nodes.forEach(Node::close);
        store.close();
    }
}
