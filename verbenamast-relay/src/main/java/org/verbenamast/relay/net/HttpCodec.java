package org.verbenamast.relay.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.LastHttpContent;

/** Encodes and decodes HTTP/1.1 on one connection with Netty's codecs, in an embedded channel without a transport. */
public final class HttpCodec implements AutoCloseable {

    /** Longest request line or status line, in bytes; the platform's limit on heads is lower than both together. */
    private static final int MAX_LINE_BYTES = 16 * 1024;
    /** Largest piece of a body that the codec decodes at once, in bytes. */
    private static final int MAX_PIECE_BYTES = 32 * 1024;

    private static final UnpooledByteBufAllocator HEAP = new UnpooledByteBufAllocator(false, true);

    private final EmbeddedChannel channel;

    private HttpCodec(ChannelHandler... handlers) {
        this.channel = new EmbeddedChannel();
        channel.config().setAllocator(HEAP);
        channel.pipeline().addLast(handlers);
    }

    /**
     * Creates the codec of a connection that receives requests.
     *
     * @param maxHeadBytes the longest head that the codec accepts, in bytes
     * @return the codec
     */
    public static HttpCodec server(int maxHeadBytes) {
        return new HttpCodec(new HttpServerCodec(config(maxHeadBytes)));
    }

    /**
     * Creates the codec of a connection that receives responses.
     *
     * @param decoder decodes the responses
     * @return the codec
     */
    static HttpCodec client(ResponseDecoder decoder) {
        return new HttpCodec(new HttpRequestEncoder(), decoder);
    }

    /** Returns the settings of a decoder that accepts heads of the given length, in bytes. */
    static HttpDecoderConfig config(int maxHeadBytes) {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(maxHeadBytes)
                .setMaxChunkSize(MAX_PIECE_BYTES);
    }

    /**
     * Decodes received bytes; {@link #next} returns the result.
     *
     * @param bytes the bytes in the order of the connection
     */
    public void received(byte[] bytes) {
        channel.writeInbound(Unpooled.wrappedBuffer(bytes));
    }

    /** Handles an orderly close by the peer, which ends a body that has no other framing. */
    public void inputEnded() {
        channel.pipeline().fireChannelInactive();
    }

    /**
     * Returns the next decoded part.
     *
     * @return a head or a piece of a body, or null if more bytes are needed
     */
    public HttpObject next() {
        return channel.readInbound();
    }

    /**
     * Encodes one part of a message.
     *
     * @param part a head, a piece of a body, or the end of a body
     * @return the bytes to send
     */
    public byte[] encode(HttpObject part) {
        channel.writeOutbound(part);
        ByteBuf joined = HEAP.buffer();
        for (ByteBuf piece = channel.readOutbound(); piece != null; piece = channel.readOutbound()) {
            joined.writeBytes(piece);
            piece.release();
        }
        byte[] bytes = bytesOf(joined);
        joined.release();
        return bytes;
    }

    /**
     * Encodes a piece of a body.
     *
     * @param bytes the piece; an empty one is encoded to no bytes
     * @return the bytes to send
     */
    public byte[] encode(byte[] bytes) {
        return bytes.length == 0 ? bytes : encode(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }

    /**
     * Encodes the end of a body.
     *
     * @return the bytes to send
     */
    public byte[] encodeEnd() {
        return encode(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /**
     * Copies the bytes of a piece of a body and releases its buffer.
     *
     * @param content the piece
     * @return its bytes
     */
    public static byte[] bytes(HttpContent content) {
        byte[] bytes = bytesOf(content.content());
        content.release();
        return bytes;
    }

    private static byte[] bytesOf(ByteBuf buf) {
        byte[] bytes = new byte[buf.readableBytes()];
        buf.readBytes(bytes);
        return bytes;
    }

    @Override
    public void close() {
        channel.finishAndReleaseAll();
    }
}
