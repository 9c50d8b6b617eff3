package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An application instance: it checks in at the node beside it and serves one request at a time on a connection. */
class Instance {

    static final int SLOTS = 9;
    private static final int IDLE_MILLIS = 10_000;
    private static final AtomicInteger BOOTS = new AtomicInteger();

    /** What an instance answers. */
    record Answer(int status, byte[] body, boolean notExecuted, byte[] extra, int pieces, int pieceMillis) {

        Answer(int status, byte[] body, boolean notExecuted, byte[] extra) {
            this(status, body, notExecuted, extra, 1, 0);
        }

        static Answer ok(String text) {
            return new Answer(200, text.getBytes(StandardCharsets.UTF_8), false, new byte[0]);
        }

        static Answer failed() {
            return new Answer(500, "failed".getBytes(StandardCharsets.UTF_8), false, new byte[0]);
        }

        static Answer shed() {
            return new Answer(503, new byte[0], true, new byte[0]);
        }

        /** Returns this answer with bytes of no meaning after it. */
        Answer followedBy(byte[] bytes) {
            return new Answer(status, body, notExecuted, bytes);
        }
    }

    /** What a case lets an instance do with a request. Throws where the connection is to end without an answer. */
    interface Work {
        Answer run(Instance instance, Message head, byte[] body) throws Exception;
    }

    final String name;
    final String service;
    final String zone;
    final String heartbeats;
    final String log;
    volatile String id;
    volatile boolean up;
    volatile boolean beating;
    volatile long upSince;
    volatile Work work;
    private final Record record;
    private final int port;
    private volatile ServerSocket listener;
    private volatile long born;
    private final AtomicInteger sequence = new AtomicInteger();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private long answers;

    Instance(String name, String service, String zone, int port, String heartbeats, Record record, Work work) {
        this.name = name;
        this.service = service;
        this.zone = zone;
        this.port = port;
        this.heartbeats = heartbeats;
        this.record = record;
        this.work = work;
        this.log = "instance " + name;
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Starts a boot of the instance, under an id of its own. */
    void start() throws IOException {
        id = "i-" + Integer.toHexString(0x1000 + BOOTS.incrementAndGet()) + "-" + name;
        born = System.currentTimeMillis();
        sequence.set(0);
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 128);
        up = true;
        beating = true;
        upSince = System.nanoTime();
        ServerSocket own = listener;
        Fleet.run(() -> accept(own));
        String boot = id;
        Fleet.run(() -> {
            while (up && boot.equals(id)) {
                if (beating) {
                    checkIn("ready");
                }
                Thread.sleep(Fleet.beatMillis);
            }
        });
    }

    /** Ends the instance at once: no more check-ins, all connections break. */
    void crash() {
        up = false;
        beating = false;
        close(listener);
        connections.forEach(Instance::close);
        connections.clear();
    }

    static void close(AutoCloseable each) {
        try {
            each.close();
        } catch (Exception e) {
            // The connection is gone already.
        }
    }

    String beat(String state) {
        Map<String, Object> beat = new LinkedHashMap<>();
        beat.put("service", service);
        beat.put("address", address());
        beat.put("zone", zone);
        beat.put("version", "v1");
        beat.put("slots", (long) SLOTS);
        beat.put("state", state);
        beat.put("coldLeftMs", 0L);
        beat.put("sequence", (long) sequence.incrementAndGet());
        beat.put("born", born);
        return Json.write(beat);
    }

    void checkIn(String state) {
        try {
            Fleet.call(heartbeats, "PUT", "/-/instances/" + id, beat(state), 1_000);
        } catch (IOException e) {
            // The node is away; the next check-in follows.
        }
    }

    private void accept(ServerSocket own) throws IOException {
        while (up) {
            Socket socket = own.accept();
            connections.add(socket);
            Fleet.run(() -> serve(socket));
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(IDLE_MILLIS);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Message head = Message.readHead(in); head != null; head = Message.readHead(in)) {
                answer(socket, in, head);
            }
        } catch (Exception e) {
            // The connection ends.
        } finally {
            connections.remove(socket);
        }
    }

    private void answer(Socket socket, InputStream in, Message head) throws Exception {
        byte[] body = head.readBody(in);
        Answer answer;
        if (!id.equals(head.field("X-Verbenamast-Target-Instance"))) {
            answer = new Answer(421, new byte[0], true, new byte[0]);
        } else {
            answer = work.run(this, head, body);
        }
        OutputStream out = socket.getOutputStream();
        byte[] bytes = bytes(head, answer);
        int size = (bytes.length + answer.pieces() - 1) / answer.pieces();
        for (int at = 0; at < bytes.length; at += size) {
            out.write(bytes, at, Math.min(size, bytes.length - at));
            out.flush();
            Thread.sleep(answer.pieceMillis());
        }
    }

    private synchronized byte[] bytes(Message head, Answer answer) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String text = "HTTP/1.1 " + answer.status() + " " + reason(answer.status()) + "\r\n"
                + "Content-Type: text/plain; charset=utf-8\r\n"
                + "Content-Length: " + answer.body().length + "\r\n"
                + "X-Verbenamast-Attempt-Id: " + head.field("X-Verbenamast-Attempt-Id") + "\r\n"
                + (answer.notExecuted()
                        ? "X-Verbenamast-Not-Executed: 1\r\n"
                        : "X-Verbenamast-Response-Signature: " + id + "." + ++answers + "\r\n")
                + "\r\n";
        bytes.write(text.getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(answer.body());
        bytes.write(answer.extra());
        return bytes.toByteArray();
    }

    static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 421 -> "Misdirected Request";
            case 500 -> "Internal Server Error";
            default -> "Service Unavailable";
        };
    }

    void log(String text) {
        record.add(log, text);
    }
}
