package org.verbenamast.wire;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;

/** Netty's decoder of frames, with a limit on their length. */
final class BoundedFrameDecoder extends ProtobufVarint32FrameDecoder {

    private static final int MAX_PREFIX_BYTES = 5;
    private static final int PAYLOAD_BITS = 7;
    private static final int PAYLOAD_MASK = 0x7f;

    private final int maxFrameBytes;

    BoundedFrameDecoder(int maxFrameBytes) {
        this.maxFrameBytes = maxFrameBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (lengthAhead(in) > maxFrameBytes) {
            in.skipBytes(in.readableBytes());
            throw new TooLongFrameException("frame longer than " + maxFrameBytes + " bytes");
        }
        super.decode(context, in, out);
    }

    private static long lengthAhead(ByteBuf in) {
        long length = 0;
        int readable = Math.min(in.readableBytes(), MAX_PREFIX_BYTES);
        for (int i = 0; i < readable; i++) {
            byte part = in.getByte(in.readerIndex() + i);
            length |= (long) (part & PAYLOAD_MASK) << (i * PAYLOAD_BITS);
            if (part >= 0) {
                return length;
            }
        }
        if (readable == MAX_PREFIX_BYTES) {
            in.skipBytes(in.readableBytes());
            throw new CorruptedFrameException("length prefix longer than " + MAX_PREFIX_BYTES + " bytes");
        }
        return 0;
    }
}
