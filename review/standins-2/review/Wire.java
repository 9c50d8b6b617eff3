package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** HTTP/1.1 on plain sockets. */
final class Wire {

    private Wire() {}

    /** A head: its first line and its fields, with names in lower case. */
    record Head(String line, List<String[]> fields) {

        String field(String name) {
            return fields.stream()
                    .filter(each -> each[0].equals(name.toLowerCase(Locale.ROOT)))
                    .map(each -> each[1])
                    .findFirst()
                    .orElse(null);
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** Reads a head; returns null if the connection ends before its first byte. */
    static Head head(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        List<String[]> fields = new ArrayList<>();
        for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            fields.add(new String[] {
                field.substring(0, colon).toLowerCase(Locale.ROOT),
                field.substring(colon + 1).trim()
            });
        }
        return new Head(line, fields);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a head");
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the body that a head announces, by length or in chunks. */
    static byte[] body(InputStream in, Head head) throws IOException {
        if (head.field("transfer-encoding") != null) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int length = Integer.parseInt(line(in), 16);
            while (length > 0) {
                body.writeBytes(exactly(in, length));
                line(in);
                length = Integer.parseInt(line(in), 16);
            }
            line(in);
            return body.toByteArray();
        }
        String length = head.field("content-length");
        return length == null ? new byte[0] : exactly(in, Integer.parseInt(length));
    }

    /** Reads a body that has a length, without keeping it. */
    static void skipBody(InputStream in, Head head) throws IOException {
        String length = head.field("content-length");
        in.skipNBytes(length == null ? 0 : Long.parseLong(length));
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    /** Sends bytes on a new connection and returns everything received until the other side closes it. */
    static byte[] call(String ip, int port, String request, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return socket.getInputStream().readAllBytes();
        }
    }
}
