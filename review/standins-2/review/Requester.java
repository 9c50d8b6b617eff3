package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Requesters on the machines: one request a connection, each with an id of its own and no retries. */
final class Requester {

    static final String HOST = "jepu9.example";
    private static final AtomicInteger NEXT = new AtomicInteger();

    /** What became of a request. Status 0 stands for a connection that ended without a whole answer. */
    record Result(String attempt, Node node, long sentAt, long endedAt, int status, String detail) {}

    private final Recorder record;
    final List<Result> results = new CopyOnWriteArrayList<>();

    Requester(Recorder record) {
        this.record = record;
    }

    /** Sends a request and waits for its answer. */
    Result send(Node node, String method, String path, int key, int timeoutMillis) {
        String attempt = String.format("%016x", 0x5e00_0000L + NEXT.incrementAndGet());
        long sentAt = Recorder.now();
        record.write("request %s %s %s%s sent to %s", attempt, method, path, key < 0 ? "" : " key " + key, node.name);
        int status = 0;
        String detail = "";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(node.ip, node.outbound), 1_000);
            socket.setSoTimeout(timeoutMillis + 500);
            String body = method.equals("POST") ? "order" : "";
            String head = method + ' ' + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Verbenamast-Attempt-Id: " + attempt
                    + "\r\nX-Verbenamast-Deadline-Ms: " + timeoutMillis + "\r\n"
                    + (key < 0 ? "" : "X-Verbenamast-Shard-Key: " + key + "\r\n")
                    + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Wire.Head answer = Wire.head(in);
            if (answer == null) {
                detail = "closed without an answer";
            } else {
                int length = Wire.body(in, answer).length;
                status = answer.status();
                detail = length + " bytes, signature " + answer.field("X-Verbenamast-Response-Signature");
            }
        } catch (IOException e) {
            detail = e.toString();
        }
        Result result = new Result(attempt, node, sentAt, Recorder.now(), status, detail);
        results.add(result);
        record.write("request %s ends: %s, %s", attempt, status == 0 ? "no whole answer" : status, detail);
        return result;
    }
}
