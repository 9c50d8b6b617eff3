package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * CONFIG: an instance crashes silently while requesters on other machines upload long bodies. The requests of the
 * requesters beside it, which go to other instances, must be answered.
 */
final class Uploads {

    /** Within the manifest's maxBodyBytes of 64 MiB. */
    private static final int BODY_BYTES = 60 << 20;
    private static final int UPLOADS_PER_NODE = 4;
    private static final int LOOKUPS = 20;
    /** The timeoutMs of the lookups' route. */
    private static final int TIMEOUT_MS = 1_200;
    /** The rule sets no number; a single late answer is not taken for a broken rule. */
    private static final int FEWEST_COUNTED = 5;
    private static final int RESTART_DELAY_MS = 300;
    private static final int WATCHED_MS = 12_000;

    private final AtomicInteger nextUpload = new AtomicInteger();
    private volatile boolean sending = true;

    boolean holds(Recorder record, boolean trouble) throws Exception {
        try (Deployment fleet = new Deployment(record,
                List.of(Deployment.PLAIN, Deployment.OTHER, Deployment.OTHER, Deployment.OTHER))) {
            Node node = fleet.nodes.get(0);
            Instance silent = fleet.startInstance("i-a0", node, false, 50, 400);
            fleet.startInstance("i-b0", fleet.nodes.get(1), false, 50, 400);
            fleet.startInstance("i-c0", fleet.nodes.get(2), false, 50, 400);
            fleet.startInstance("i-d0", fleet.nodes.get(3), false, 50, 400);
            fleet.awaitReady();
            List<Thread> lookups = new ArrayList<>();
            for (int i = 0; i < LOOKUPS; i++) {
                lookups.add(Threads.start(() -> {
                    while (sending) {
                        fleet.requester.send(node, "GET", "/look/1", -1, 3 * TIMEOUT_MS);
                        Threads.sleep(50);
                    }
                }));
            }
            Deployment.await("requests run", 30, () -> fleet.instances.stream()
                    .mapToInt(each -> each.runs.size()).sum() > 200);
            Threads.sleep(3_000);
            long since = Recorder.now();
            if (trouble) {
                silent.goDark();
            }
            for (Node other : fleet.nodes.subList(1, 4)) {
                for (int i = 0; i < UPLOADS_PER_NODE; i++) {
                    Threads.start(() -> {
                        while (sending) {
                            upload(other, record);
                        }
                    });
                }
            }
            int ends = watch(node, record);
            sending = false;
            for (Thread lookup : lookups) {
                lookup.join(10_000);
            }
            return check(fleet, node, since, ends, record);
        }
    }

    private void upload(Node node, Recorder record) {
        String attempt = "upload-" + nextUpload.incrementAndGet();
        byte[] piece = new byte[1 << 18];
        String outcome = "no answer";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(node.ip, node.outbound), 1_000);
            socket.setSoTimeout(5_000);
            Thread writer = Threads.start(() -> {
                OutputStream out = socket.getOutputStream();
                out.write(("POST /order/1 HTTP/1.1\r\nHost: " + Requester.HOST + "\r\nX-Verbenamast-Attempt-Id: " + attempt
                                + "\r\nX-Verbenamast-Deadline-Ms: 1500\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                for (int sent = 0; sent < BODY_BYTES; sent += piece.length) {
                    out.write(piece);
                }
            });
            Wire.Head head = Wire.head(socket.getInputStream());
            outcome = head == null ? "closed" : head.line();
            socket.close();
            writer.join();
        } catch (IOException | InterruptedException e) {
            outcome = e.toString();
        }
        record.write("%s at %s ends: %s", attempt, node.name, outcome);
        Threads.sleep(20);
    }

    /** Restarts the process when it ends by itself, as the platform does; returns how often it ended. */
    private static int watch(Node node, Recorder record) throws IOException {
        int ends = 0;
        long until = Recorder.now() + WATCHED_MS;
        while (Recorder.now() < until) {
            if (!node.isAlive()) {
                ends++;
                record.write("node %s has ended by itself", node.name);
                Threads.sleep(RESTART_DELAY_MS);
                node.start();
            }
            Threads.sleep(50);
        }
        return ends;
    }

    private static boolean check(Deployment fleet, Node node, long since, int ends, Recorder record) {
        List<Requester.Result> lookups = fleet.requester.results.stream()
                .filter(each -> each.sentAt() >= since)
                .toList();
        long late = lookups.stream()
                .filter(each -> each.status() == 0 && !each.detail().contains("refused") && !each.detail().contains("reset")
                        || each.endedAt() - each.sentAt() > TIMEOUT_MS)
                .count();
        long unanswered = lookups.stream()
                .filter(each -> each.status() == 0 && !each.detail().contains("refused") && !each.detail().contains("reset")
                        || each.status() != 0 && each.endedAt() - each.sentAt() > TIMEOUT_MS + 500)
                .count();
        long whole = lookups.stream().filter(each -> each.status() == 200).count();
        record.write("%d lookups at %s since then: %d answered with 200, %d without an answer at timeoutMs, %d of them without"
                        + " one half a second later; its process ended by itself %d times",
                lookups.size(), node.name, whole, late, unanswered, ends);
        boolean kept = late < FEWEST_COUNTED || unanswered * 2 <= late;
        record.write(kept ? "CONFIG held" : "CONFIG broken");
        return kept;
    }
}
