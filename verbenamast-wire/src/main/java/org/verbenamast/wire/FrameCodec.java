package org.verbenamast.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Frames messages on one link: each is preceded by its length as a protobuf varint. Works on Netty's buffers without a
 * channel, whose set-up and pipeline cost more than the messages themselves.
 *
 * @param <M> the type of the messages
 */
public final class FrameCodec<M extends MessageLite> implements AutoCloseable {

    private static final int MAX_PREFIX_BYTES = 5;
    private static final int PAYLOAD_BITS = 7;
    private static final int PAYLOAD_MASK = 0x7f;
    /** Largest buffer that a link keeps between frames, in bytes; a piece of a body fits. */
    private static final int MAX_IDLE_BYTES = 64 * 1024;

    private static final int INCOMPLETE = -1;

    private final M prototype;
    private final int maxFrameBytes;
    private final ByteBuf pending = Unpooled.buffer();
    private final Deque<M> messages = new ArrayDeque<>();

    /**
     * Makes a codec for one link.
     *
     * @param prototype any message of the type
     * @param maxFrameBytes the longest frame that is read, in bytes
     */
    public FrameCodec(M prototype, int maxFrameBytes) {
        this.prototype = Objects.requireNonNull(prototype, "prototype");
        this.maxFrameBytes = maxFrameBytes;
    }

    /**
     * Frames a message.
     *
     * @param message the message
     * @return the bytes to send
     */
    public byte[] encode(M message) {
        int length = message.getSerializedSize();
        byte[] bytes = new byte[CodedOutputStream.computeUInt32SizeNoTag(length) + length];
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        try {
            out.writeUInt32NoTag(length);
            message.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException("an array of the message's own size should hold it", e);
        }
        return bytes;
    }

    /**
     * Takes bytes from the link.
     *
     * @param bytes the bytes
     * @param offset where they start
     * @param length how many there are
     * @throws WireException where a frame can't be read; the link can't be used any further
     */
    public void received(byte[] bytes, int offset, int length) throws WireException {
        pending.writeBytes(bytes, offset, length);
        try {
            for (M message = decode(); message != null; message = decode()) {
                messages.add(message);
            }
        } catch (InvalidProtocolBufferException e) {
            throw WireException.shouldBeReadableFrame(String.valueOf(e.getMessage()));
        }
        pending.discardSomeReadBytes();
        if (!pending.isReadable() && pending.capacity() > MAX_IDLE_BYTES) {
            pending.clear().capacity(MAX_IDLE_BYTES);
        }
    }

    /** Returns the first message of the pending bytes, or null while it is incomplete. */
    @SuppressWarnings("unchecked")
    private M decode() throws WireException, InvalidProtocolBufferException {
        int start = pending.readerIndex();
        int length = readLength();
        if (length == INCOMPLETE || pending.readableBytes() < length) {
            pending.readerIndex(start);
            return null;
        }
        int from = pending.arrayOffset() + pending.readerIndex();
        pending.skipBytes(length);
        return (M) prototype.getParserForType().parseFrom(pending.array(), from, length);
    }

    private int readLength() throws WireException {
        long length = 0;
        for (int i = 0; i < MAX_PREFIX_BYTES; i++) {
            if (!pending.isReadable()) {
                return INCOMPLETE;
            }
            byte part = pending.readByte();
            length |= (long) (part & PAYLOAD_MASK) << (i * PAYLOAD_BITS);
            if (part >= 0) {
                return checkedLength(length);
            }
        }
        throw WireException.shouldBeReadableFrame("length prefix longer than " + MAX_PREFIX_BYTES + " bytes");
    }

    private int checkedLength(long length) throws WireException {
        if (length > maxFrameBytes) {
            throw WireException.shouldBeReadableFrame("frame longer than " + maxFrameBytes + " bytes");
        }
        return (int) length;
    }

    /**
     * Returns the next whole message that has come in.
     *
     * @return the message, or null where none is whole yet
     */
    public M next() {
        return messages.poll();
    }

    /**
     * Returns what the codec holds for a frame that is not whole.
     *
     * @return the bytes
     */
    public int heldBytes() {
        return pending.readableBytes();
    }

    @Override
    public void close() {
        pending.release();
    }
}
