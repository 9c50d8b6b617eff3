package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** One boot of an instance: it checks in at the node on its machine, holds keys and runs requests. */
final class Instance implements AutoCloseable {

    private static final int SLOTS = 6;
    private static final int BACKLOG = 16;
    private static final int ACK_MS = 1_000;
    private static final int MAX_ACK_BYTES = 4 * 1024;

    /** Keys that this instance has released, with what the next holder needs of them. */
    record Freed(int from, int to, String handover) {}

    /** A request that this instance began to run. */
    record Run(String attempt, int key, long at) {}

    /** A span of time in which this instance held a range of keys; {@code until} may still change. */
    static final class Hold {
        final int from;
        final int to;
        final long fence;
        final long since;
        volatile long until;

        Hold(int from, int to, long fence, long since, long until) {
            this.from = from;
            this.to = to;
            this.fence = fence;
            this.since = since;
            this.until = until;
        }
    }

    final String id;
    final long born = System.currentTimeMillis();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final List<Hold> holds = new CopyOnWriteArrayList<>();
    private final Node node;
    private final boolean sharded;
    private final int workMillis;
    private final int answerBytes;
    private final Recorder record;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong sequence = new AtomicLong();
    private volatile List<Hold> held = List.of();
    /** What was released since the last confirmed check-in. */
    private volatile List<Freed> freed = List.of();
    private volatile boolean beating = true;
    private volatile boolean up = true;
    private volatile boolean dark;
    volatile long lastBeatAt;
    volatile long coldSince;
    private volatile long coldUntil;
    private volatile int crashPerSecond = Integer.MAX_VALUE;

    Instance(String id, Node node, boolean sharded, int workMillis, int answerBytes, Recorder record)
            throws IOException {
        this.id = id;
        this.node = node;
        this.sharded = sharded;
        this.workMillis = workMillis;
        this.answerBytes = answerBytes;
        this.record = record;
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(node.ip), node.app), BACKLOG);
        record.write("instance %s of %s is up beside %s", id, node.service(), node.name);
        Threads.start(this::accept);
        Threads.start(this::beat);
    }

    private void accept() throws IOException {
        while (up && !dark) {
            Socket socket = listener.accept();
            sockets.add(socket);
            Threads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Wire.Head head = Wire.head(in); head != null && up; head = Wire.head(in)) {
                Wire.skipBody(in, head);
                while (dark) {
                    Threads.sleep(100);
                }
                socket.getOutputStream().write(answer(head));
            }
        } finally {
            sockets.remove(socket);
        }
    }

    private byte[] answer(Wire.Head head) {
        if (head.line().startsWith("GET /health ")) {
            return ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Verbenamast-Instance-Id: " + id
                            + "\r\nX-Verbenamast-Cold-Ms: " + coldLeft() + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
        }
        String attempt = head.field("X-Verbenamast-Attempt-Id");
        String keyField = head.field("X-Verbenamast-Shard-Key");
        int key = sharded && keyField != null ? Integer.parseInt(keyField) : -1;
        boolean here = id.equals(head.field("X-Verbenamast-Target-Instance"));
        if (!here || sharded && !isHeld(key)) {
            record.write("instance %s refuses %s with 421", id, attempt);
            return ("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nX-Verbenamast-Instance-Id: " + id
                            + "\r\nX-Verbenamast-Attempt-Id: " + attempt + "\r\nX-Verbenamast-Not-Executed: 1\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
        }
        runs.add(new Run(attempt, key, Recorder.now()));
        record.write("instance %s runs %s %s %s", id, attempt, head.line().split(" ")[0], key < 0 ? "" : "key " + key);
        if (coldLeft() > 0 && runsSince(Recorder.now() - 1_000) > crashPerSecond) {
            record.write("instance %s, which is cold, got more than %d requests in a second and crashes", id, crashPerSecond);
            close();
        }
        Threads.sleep(workMillis);
        byte[] bytes = new byte[answerBytes];
        java.util.Arrays.fill(bytes, (byte) 'x');
        byte[] start = ("HTTP/1.1 200 OK\r\nContent-Length: " + bytes.length + "\r\nX-Verbenamast-Attempt-Id: "
                        + attempt + "\r\nX-Verbenamast-Response-Signature: " + id + '.' + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(start, start.length + bytes.length);
        System.arraycopy(bytes, 0, all, start.length, bytes.length);
        return all;
    }

    private long coldLeft() {
        return Math.max(0, coldUntil - Recorder.now());
    }

    private long runsSince(long time) {
        return runs.stream().filter(run -> run.at() > time && run.at() >= coldSince).count();
    }

    /** Turns cold, and crashes if it gets more than a number of requests in a second meanwhile. */
    void turnCold(int millis, int crashesAbove) {
        crashPerSecond = crashesAbove;
        coldSince = Recorder.now();
        coldUntil = coldSince + millis;
        record.write("instance %s turns cold for %d ms", id, millis);
    }

    private boolean isHeld(int key) {
        long now = Recorder.now();
        return held.stream().anyMatch(each -> key >= each.from && key <= each.to && now < each.until);
    }

    /** Returns how many keys this instance holds now. */
    int heldKeys() {
        long now = Recorder.now();
        return held.stream().filter(each -> now < each.until).mapToInt(each -> each.to - each.from + 1).sum();
    }

    private void beat() {
        while (beating) {
            lastBeatAt = Recorder.now();
            beatOnce();
            // What it had to release is reported soon.
            for (int i = 0; i < 5 && beating && !freed.isEmpty(); i++) {
                Threads.sleep(80);
                beatOnce();
            }
            Threads.sleep(Math.max(0, lastBeatAt + Node.HEARTBEAT_MS - Recorder.now()));
        }
    }

    private void beatOnce() {
        long sentAt = Recorder.now();
        List<Freed> reported = freed;
        try {
            byte[] answer = Wire.call(node.ip, node.control, checkIn("ready"), ACK_MS);
            if (beating) {
                take(answer, sentAt, reported);
            }
        } catch (IOException e) {
            record.write("instance %s: check-in not confirmed (%s)", id, e.getMessage());
        }
    }

    /** Returns a check-in with the next sequence number, ready to be sent. */
    String checkIn(String state) {
        ObjectNode beat = Store.JSON.createObjectNode()
                .put("service", node.service())
                .put("address", node.appAddress())
                .put("zone", node.zone())
                .put("version", "v1")
                .put("slots", SLOTS)
                .put("state", state)
                .put("coldLeftMs", coldLeft())
                .put("sequence", sequence.incrementAndGet())
                .put("born", born);
        ArrayNode rows = beat.putArray("holds");
        long now = Recorder.now();
        held.stream()
                .filter(each -> now < each.until)
                .forEach(each -> rows.addArray().add(each.from).add(each.to).add(each.fence));
        ArrayNode released = beat.putArray("freed");
        freed.forEach(each -> released.addArray().add(each.from()).add(each.to()).add(each.handover()));
        String body = beat.toString();
        return "PUT /-/instances/" + id + " HTTP/1.1\r\nHost: " + node.ip + "\r\nContent-Type: application/json\r\n"
                + "Connection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a check-in of another writer for this instance's address: it lacks the lists of keys. */
    String checkInOfOther(String otherId) {
        String body = Store.JSON.createObjectNode()
                .put("service", node.service())
                .put("address", node.appAddress())
                .put("zone", node.zone())
                .put("version", "v1")
                .put("slots", SLOTS)
                .put("state", "draining")
                .put("coldLeftMs", 0)
                .put("sequence", 1)
                .put("born", System.currentTimeMillis())
                .toString();
        return "PUT /-/instances/" + otherId + " HTTP/1.1\r\nHost: " + node.ip
                + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    /** Takes the answer to a check-in; the keys that it leaves out are released. */
    private synchronized void take(byte[] bytes, long sentAt, List<Freed> reported) throws IOException {
        long now = Recorder.now();
        InputStream in = new java.io.ByteArrayInputStream(bytes);
        Wire.Head head = Wire.head(in);
        if (head == null || head.status() / 100 != 2) {
            throw new IOException(head == null ? "no answer" : head.line());
        }
        byte[] body = Wire.body(in, head);
        JsonNode answer = Store.JSON.readTree(body);
        if (!sharded || body.length > MAX_ACK_BYTES) {
            return;
        }
        List<Freed> unreported = new ArrayList<>(freed);
        unreported.removeAll(reported);
        if (!answer.has("holds")) {
            freed = List.copyOf(unreported);
            return;
        }
        long until = sentAt + answer.path("holdMs").asLong();
        List<Hold> next = new ArrayList<>();
        for (JsonNode row : answer.get("holds")) {
            next.add(renewed(row.get(0).asInt(), row.get(1).asInt(), row.get(2).asLong(), now, until));
        }
        for (Hold each : held) {
            if (!next.contains(each) && each.until > now) {
                each.until = now;
                unreported.addAll(parts(each, next));
                record.write("instance %s releases %d-%d", id, each.from, each.to);
            }
        }
        held = List.copyOf(next);
        freed = List.copyOf(unreported);
    }

    /** Returns the parts of a range that this instance does not go on holding. */
    private List<Freed> parts(Hold released, List<Hold> kept) {
        List<Freed> parts = new ArrayList<>();
        int from = released.from;
        while (from <= released.to) {
            int start = from;
            java.util.Optional<Hold> cover = kept.stream()
                    .filter(each -> each.from <= start && start <= each.to)
                    .findFirst();
            if (cover.isPresent()) {
                from = cover.get().to + 1;
                continue;
            }
            int next = kept.stream().mapToInt(each -> each.from).filter(each -> each > start).min().orElse(released.to + 1);
            int to = Math.min(released.to, next - 1);
            parts.add(new Freed(from, to, String.format("%016x", System.nanoTime())));
            from = to + 1;
        }
        return parts;
    }

    private Hold renewed(int from, int to, long fence, long now, long until) {
        for (Hold each : held) {
            if (each.from == from && each.to == to && each.fence == fence && each.until > now) {
                each.until = until;
                return each;
            }
        }
        Hold hold = new Hold(from, to, fence, now, until);
        holds.add(hold);
        record.write("instance %s holds %d-%d, epoch number %d", id, from, to, fence);
        return hold;
    }

    /** Announces that this instance leaves, without having reported draining; returns the time of the confirmation. */
    long leave() throws IOException {
        beating = false;
        byte[] answer = Wire.call(
                node.ip,
                node.control,
                "DELETE /-/instances/" + id + " HTTP/1.1\r\nHost: " + node.ip + "\r\nConnection: close\r\n\r\n",
                ACK_MS);
        String line = new String(answer, StandardCharsets.ISO_8859_1).lines().findFirst().orElse("no answer");
        record.write("instance %s announces by DELETE that it leaves; the answer is %s", id, line);
        if (!line.contains(" 200")) {
            throw new IOException("the leave was not confirmed");
        }
        return Recorder.now();
    }

    /**
     * Crashes silently, as with its whole machine: it answers nothing any more, sends no check-ins, and its address takes
     * no connection and refuses none.
     */
    void goDark() {
        record.write("instance %s falls silent", id);
        dark = true;
        beating = false;
        try {
            while (true) {
                Socket filler = new Socket();
                sockets.add(filler);
                filler.connect(new InetSocketAddress(node.ip, node.app), 100);
            }
        } catch (IOException e) {
            record.write("the address of instance %s takes no connection any more", id);
        }
    }

    /** Ends the instance: it closes all its connections and holds nothing. */
    @Override
    public void close() {
        if (!up) {
            return;
        }
        record.write("instance %s ends", id);
        up = false;
        beating = false;
        long now = Recorder.now();
        held.forEach(each -> each.until = Math.min(each.until, now));
        try {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            record.write("closing instance %s: %s", id, e.getMessage());
        }
    }
}
