package org.verbenamast.relay.net;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Queue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Encodes and decodes HTTP/1.1 on one connection. Calls Netty's codecs directly: a channel and its pipeline cost more
 * than the decoding itself.
 */
public final class HttpCodec implements AutoCloseable {

    /** Longest request line or status line, in bytes; the platform's limit on heads is lower than both together. */
    private static final int MAX_LINE_BYTES = 16 * 1024;
    /** Largest piece of a body that the codec decodes at once, in bytes. */
    private static final int MAX_PIECE_BYTES = 32 * 1024;

    private static final UnpooledByteBufAllocator HEAP = new UnpooledByteBufAllocator(false, true);

    /** The context of one channel that all encoders share, as they ask it for the allocator alone. */
    private static final ChannelHandlerContext CONTEXT = newContext();

    private final PartDecoder decoder;
    private final PartEncoder encoder;
    private final Deque<HttpObject> parts = new ArrayDeque<>();
    private final List<Object> decoded = new ArrayList<>();
    private ByteBuf undecoded = Unpooled.EMPTY_BUFFER;

    private HttpCodec(PartDecoder decoder, PartEncoder encoder) {
        this.decoder = Objects.requireNonNull(decoder, "decoder");
        this.encoder = Objects.requireNonNull(encoder, "encoder");
    }

    private static ChannelHandlerContext newContext() {
        EmbeddedChannel channel = new EmbeddedChannel(new ChannelInboundHandlerAdapter());
        channel.config().setAllocator(HEAP);
        return channel.pipeline().firstContext();
    }

    /**
     * Creates the codec of a connection that receives requests.
     *
     * @param maxHeadBytes the longest head that the codec accepts, in bytes
     * @return the codec
     */
    public static HttpCodec server(int maxHeadBytes) {
        Queue<HttpMethod> methods = new ArrayDeque<>();
        return new HttpCodec(new RequestDecoder(config(maxHeadBytes), methods), new ResponseEncoder(methods));
    }

    /**
     * Creates the codec of a connection that receives responses.
     *
     * @param decoder decodes the responses
     * @return the codec
     */
    static HttpCodec client(ResponseDecoder decoder) {
        return new HttpCodec(decoder, new RequestEncoder());
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
        if (bytes.length > 0) {
            undecoded = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(HEAP, undecoded, Unpooled.wrappedBuffer(bytes));
        }
        try {
            decodeAll();
        } catch (DecoderException e) {
            throw e;
        } catch (Exception e) {
            throw new DecoderException(e);
        }
    }

    private void decodeAll() throws Exception {
        while (undecoded.isReadable()) {
            int before = undecoded.readableBytes();
            decoder.decodePart(undecoded, decoded);
            boolean progress = undecoded.readableBytes() < before;
            if (!progress && !decoded.isEmpty()) {
                throw new DecoderException("the decoder should consume the bytes of a part but consumed none");
            }
            takeDecoded();
            if (!progress) {
                return;
            }
        }
    }

    private void takeDecoded() {
        for (int i = 0; i < decoded.size(); i++) {
            parts.add((HttpObject) decoded.get(i));
        }
        decoded.clear();
    }

    /** Returns whether bytes have arrived that belong to none of the parts decoded so far. */
    boolean hasUndecodedBytes() {
        return undecoded.isReadable();
    }

    /** Handles an orderly close by the peer, which ends a body that has no other framing. */
    public void inputEnded() {
        try {
            decodeAll();
            decoder.decodeLastPart(undecoded, decoded);
            takeDecoded();
        } catch (DecoderException e) {
            throw e;
        } catch (Exception e) {
            throw new DecoderException(e);
        }
    }

    /**
     * Returns the next decoded part.
     *
     * @return a head or a piece of a body, or null if more bytes are needed
     */
    public HttpObject next() {
        return parts.poll();
    }

    /**
     * Encodes one part of a message.
     *
     * @param part a head, a whole message, or a piece of a body
     * @return the bytes to send
     */
    public byte[] encode(HttpObject part) {
        List<Object> buffers = new ArrayList<>();
        try {
            encoder.encodePart(CONTEXT, part, buffers);
        } catch (EncoderException e) {
            throw e;
        } catch (Exception e) {
            throw new EncoderException(e);
        }
        ByteBuf joined = HEAP.buffer();
        for (Object buffer : buffers) {
            joined.writeBytes((ByteBuf) buffer);
            ((ByteBuf) buffer).release();
        }
        return bytesOf(joined);
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
        parts.clear();
        undecoded.release();
        undecoded = Unpooled.EMPTY_BUFFER;
    }
}
