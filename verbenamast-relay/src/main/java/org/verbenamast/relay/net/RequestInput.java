package org.verbenamast.relay.net;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Objects;
import java.util.function.IntPredicate;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.verbenamast.core.client.ClientRefusal;

/**
 * The bytes of a connection in front of its codec. A head is kept as bytes until it is complete and room was found for
 * the objects that it becomes, so that an incomplete one costs its length and nothing else.
 */
public final class RequestInput {

    private final HttpCodec codec;
    private final IntPredicate hasRoom;
    private final HeadScanner head;
    private final Deque<byte[]> unread = new ArrayDeque<>(1);
    private final ByteArrayOutputStream partialHead = new ByteArrayOutputStream(0);
    private ChunkScanner chunks;
    private long bodyLeft;
    private boolean inBody;
    private boolean failed;
    private int unreadBytes;
    private int headWeight;

    /**
     * Creates the input of a connection.
     *
     * @param codec decodes the bytes that are passed on
     * @param maxHeadBytes the longest head, in bytes
     * @param hasRoom tells whether the node can hold a head of the given weight, in bytes
     */
    public RequestInput(HttpCodec codec, int maxHeadBytes, IntPredicate hasRoom) {
        this.codec = Objects.requireNonNull(codec, "codec");
        this.head = new HeadScanner(maxHeadBytes);
        this.hasRoom = Objects.requireNonNull(hasRoom, "hasRoom");
    }

    /**
     * Adds received bytes.
     *
     * @param bytes the bytes in the order of the connection
     */
    public void add(byte[] bytes) {
        if (!failed) {
            unread.add(bytes);
            unreadBytes += bytes.length;
        }
    }

    /**
     * Decodes bytes up to the end of the next head or body at most.
     *
     * @param parts receives the decoded parts
     * @return whether there was anything to decode
     */
    public boolean decode(Deque<HttpObject> parts) {
        byte[] bytes = unread.poll();
        if (bytes == null) {
            return false;
        }
        unreadBytes -= bytes.length;
        int end = inBody ? decodeBody(bytes, parts) : decodeHead(bytes, parts);
        if (end < bytes.length && !failed) {
            unread.addFirst(Arrays.copyOfRange(bytes, end, bytes.length));
            unreadBytes += bytes.length - end;
        }
        return true;
    }

    private int decodeHead(byte[] bytes, Deque<HttpObject> parts) {
        int end = head.scan(bytes, 0);
        int scanned = end < 0 ? bytes.length : end;
        partialHead.write(bytes, 0, scanned);
        if (head.isTooLong()) {
            fail(parts, ClientRefusal.HEAD_TOO_LONG);
        } else if (end >= 0 && !hasRoom.test(head.weight())) {
            fail(parts, ClientRefusal.HELD_BYTES);
        } else if (end >= 0) {
            headWeight = head.weight();
            byte[] complete = partialHead.toByteArray();
            partialHead.reset();
            head.reset();
            int before = parts.size();
            pass(complete, parts);
            if (parts.size() == before) {
                fail(parts, ClientRefusal.MALFORMED);
            }
        } else if (!head.isInHead()) {
            partialHead.reset();
        }
        return scanned;
    }

    private int decodeBody(byte[] bytes, Deque<HttpObject> parts) {
        int end;
        if (chunks != null) {
            int found = chunks.scan(bytes, 0);
            end = found < 0 ? bytes.length : found;
            if (chunks.isTooLong()) {
                fail(parts, ClientRefusal.HEAD_TOO_LONG);
                return bytes.length;
            }
        } else {
            end = (int) Math.min(Math.max(1, bodyLeft), bytes.length);
            bodyLeft -= end;
        }
        pass(end == bytes.length ? bytes : Arrays.copyOf(bytes, end), parts);
        return end;
    }

    private void pass(byte[] bytes, Deque<HttpObject> parts) {
        codec.received(bytes);
        for (HttpObject part = codec.next(); part != null; part = codec.next()) {
            parts.add(part);
            if (part.decoderResult().isFailure()) {
                drop();
                return;
            }
            if (part instanceof HttpRequest request) {
                inBody = true;
                chunks = HttpUtil.isTransferEncodingChunked(request) ? new ChunkScanner() : null;
                bodyLeft = HttpUtil.getContentLength(request, 0L);
            }
            if (part instanceof LastHttpContent) {
                inBody = false;
            }
        }
    }

    private void fail(Deque<HttpObject> parts, ClientRefusal reason) {
        DecoderResult result = DecoderResult.failure(new RefusedHeadException(reason));
        HttpObject part = inBody
                ? new DefaultLastHttpContent()
                : new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        part.setDecoderResult(result);
        parts.add(part);
        drop();
    }

    /** Drops what is unread and all that follows it. */
    public void drop() {
        failed = true;
        unread.clear();
        unreadBytes = 0;
        partialHead.reset();
        head.reset();
    }

    /**
     * Returns how much has arrived that is not decoded yet.
     *
     * @return the bytes
     */
    public int heldBytes() {
        return unreadBytes + partialHead.size();
    }

    /**
     * Returns whether a part of a head has arrived and its end has not.
     *
     * @return whether the client has begun a request and not completed its head
     */
    public boolean isInHead() {
        return !inBody && head.isInHead();
    }

    /**
     * Returns what the last complete head takes.
     *
     * @return the bytes, with those of the objects that its lines became
     */
    public int headWeight() {
        return headWeight;
    }
}
