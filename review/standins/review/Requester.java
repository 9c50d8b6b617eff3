package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A requester on a machine: it sends requests on a connection that it keeps. */
final class Requester implements AutoCloseable {

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());
    private static final int SLACK_MILLIS = 3_000;

    /** What a requester got: the status, or 0 and how the connection ended. */
    record Got(int status, Message head, byte[] body, String ended) {}

    private final String address;
    private Socket socket;
    private InputStream in;

    Requester(String address) {
        this.address = address;
    }

    static String newId() {
        return Long.toHexString(IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    private void connect(int timeoutMillis) throws IOException {
        if (socket == null || socket.isClosed()) {
            String[] parts = address.split(":");
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            in = new BufferedInputStream(socket.getInputStream());
        }
        socket.setSoTimeout(timeoutMillis);
    }

    /** Sends a request and waits for the answer. A body is sent in chunks or with a length. */
    Got send(String method, String host, String path, String id, int deadlineMillis, byte[] body, boolean chunked) {
        return send(method, host, path, id, deadlineMillis, body, chunked, Map.of());
    }

    Got send(
            String method,
            String host,
            String path,
            String id,
            int deadlineMillis,
            byte[] body,
            boolean chunked,
            Map<String, String> more) {
        try {
            connect(deadlineMillis + SLACK_MILLIS);
            OutputStream out = socket.getOutputStream();
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host
                    + "\r\nX-Verbenamast-Attempt-Id: " + id + "\r\nX-Verbenamast-Deadline-Ms: " + deadlineMillis
                    + "\r\n");
            more.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (chunked) {
                head.append("Transfer-Encoding: chunked\r\n");
            } else if (body.length > 0) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            write(out, body, chunked);
            Message answer = Message.readHead(in);
            if (answer == null) {
                throw new IOException("closed before an answer");
            }
            byte[] got = answer.readBody(in);
            if ("close".equalsIgnoreCase(answer.field("Connection"))) {
                close();
            }
            return new Got(Integer.parseInt(answer.first.split(" ")[1]), answer, got, "");
        } catch (IOException e) {
            close();
            return new Got(0, null, new byte[0], String.valueOf(e.getMessage()));
        }
    }

    private static void write(OutputStream out, byte[] body, boolean chunked) throws IOException {
        if (!chunked) {
            out.write(body);
            out.flush();
            return;
        }
        int size = 8 * 1024;
        for (int from = 0; from < body.length; from += size) {
            int length = Math.min(size, body.length - from);
            ByteArrayOutputStream chunk = new ByteArrayOutputStream();
            chunk.write((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            chunk.write(body, from, length);
            chunk.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.write(chunk.toByteArray());
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() {
        if (socket != null) {
            Instance.close(socket);
            socket = null;
        }
    }
}
