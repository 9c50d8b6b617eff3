package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

/** A head of HTTP/1.1 and the means to read one, and its body, from a connection. */
final class Message {

    final String first;
    final List<String[]> fields = new ArrayList<>();

    private Message(String first) {
        this.first = first;
    }

    String field(String name) {
        for (String[] each : fields) {
            if (each[0].equalsIgnoreCase(name)) {
                return each[1];
            }
        }
        return null;
    }

    /** Reads a head; null where the connection ends before it. */
    static Message readHead(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Message message = new Message(line);
        while (true) {
            String next = line(in);
            if (next == null) {
                throw new EOFException("connection ended in a head");
            }
            if (next.isEmpty()) {
                return message;
            }
            int colon = next.indexOf(':');
            if (colon < 0) {
                throw new IOException("not a header field: " + next);
            }
            message.fields.add(new String[] {next.substring(0, colon).trim(), next.substring(colon + 1).trim()});
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("connection ended in a line");
            }
            bytes.write(next);
        }
        String line = bytes.toString(java.nio.charset.StandardCharsets.ISO_8859_1);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }

    /** Reads the whole body that follows this head. */
    byte[] readBody(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(field("Transfer-Encoding"))) {
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                body.write(readFully(in, size));
                line(in);
            }
            line(in);
        } else if (field("Content-Length") != null) {
            body.write(readFully(in, Integer.parseInt(field("Content-Length"))));
        }
        return body.toByteArray();
    }

    private static int chunk(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new EOFException("connection ended in a body");
        }
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("connection ended in a body, after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }
}
