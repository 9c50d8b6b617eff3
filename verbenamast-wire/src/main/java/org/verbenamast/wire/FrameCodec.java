package org.verbenamast.wire;

import com.google.protobuf.MessageLite;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;

/**
 * Frames messages on one link, by Netty's handlers in a channel without a transport of its own.
 *
 * @param <M> the type of the messages
 */
public final class FrameCodec<M extends MessageLite> implements AutoCloseable {

    private final EmbeddedChannel channel;

    /**
     * Makes a codec for one link.
     *
     * @param prototype any message of the type
     * @param maxFrameBytes the longest frame that is read, in bytes
     */
    public FrameCodec(M prototype, int maxFrameBytes) {
        this.channel = new EmbeddedChannel(
                new BoundedFrameDecoder(maxFrameBytes),
                new ProtobufDecoder(prototype),
                new ProtobufVarint32LengthFieldPrepender(),
                new ProtobufEncoder());
    }

    /**
     * Frames a message.
     *
     * @param message the message
     * @return the bytes to send
     */
    public byte[] encode(M message) {
        channel.writeOutbound(message);
        ByteBuf joined = Unpooled.buffer();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            joined.writeBytes(part);
            part.release();
        }
        byte[] bytes = new byte[joined.readableBytes()];
        joined.readBytes(bytes);
        return bytes;
    }

    /**
     * Takes bytes from the link.
     *
     * @param bytes the bytes
     * @param offset where they start
     * @param length how many there are
     * @throws WireException where a frame can't be read
     */
    public void received(byte[] bytes, int offset, int length) throws WireException {
        try {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, offset, length));
        } catch (RuntimeException e) {
            throw WireException.shouldBeReadableFrame(String.valueOf(e.getMessage()));
        }
    }

    /**
     * Returns the next whole message that has come in.
     *
     * @return the message, or null where none is whole yet
     */
    public M next() {
        return channel.readInbound();
    }

    @Override
    public void close() {
        channel.finishAndReleaseAll();
    }
}
