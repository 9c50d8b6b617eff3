package org.verbenamast.relay.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.LastHttpContent;

/** HTTP/1.1 on one connection, by Netty's codecs in a channel without a transport of its own. */
public final class HttpCodec implements AutoCloseable {

    /** Longest request line and status line, in bytes; the platform's limit on heads is lower than both together. */
    private static final int MAX_LINE_BYTES = 16 * 1024;
    /** Longest piece of a body that is decoded at once, in bytes. */
    private static final int MAX_PIECE_BYTES = 32 * 1024;

    private static final UnpooledByteBufAllocator HEAP = new UnpooledByteBufAllocator(false, true);

    private final EmbeddedChannel channel;

    private HttpCodec(ChannelHandler codec) {
        this.channel = new EmbeddedChannel();
        channel.config().setAllocator(HEAP);
        channel.pipeline().addLast(codec);
    }

    /**
     * Makes the codec of a connection on which requests come.
     *
     * @param maxHeadBytes the longest head that is read, in bytes
     * @return the codec
     */
    public static HttpCodec server(int maxHeadBytes) {
        return new HttpCodec(new HttpServerCodec(config(maxHeadBytes)));
    }

    /**
     * Makes the codec of a connection on which answers come.
     *
     * @param maxHeadBytes the longest head that is read, in bytes
     * @return the codec
     */
    public static HttpCodec client(int maxHeadBytes) {
        return new HttpCodec(new HttpClientCodec(config(maxHeadBytes), false, false));
    }

    private static HttpDecoderConfig config(int maxHeadBytes) {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(maxHeadBytes)
                .setMaxChunkSize(MAX_PIECE_BYTES);
    }

    /**
     * Decodes bytes.
     *
     * @param bytes the bytes
     */
    public void received(byte[] bytes) {
        channel.writeInbound(Unpooled.wrappedBuffer(bytes));
    }

    /** Notes that the other side has closed its half of the connection in order. */
    public void ended() {
        channel.pipeline().fireChannelInactive();
    }

    /**
     * Returns the next decoded part.
     *
     * @return a head or a piece of a body, or null where more bytes are needed
     */
    public HttpObject next() {
        return channel.readInbound();
    }

    /**
     * Encodes a part.
     *
     * @param part a head, a piece of a body, or its end
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
     * @param bytes the piece
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
     * Takes the bytes out of a piece of a body and releases it.
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
