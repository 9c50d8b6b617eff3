package org.verbenamast.relay.net;

import java.util.List;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;

/** Encodes requests. */
final class RequestEncoder extends HttpRequestEncoder implements PartEncoder {

    @Override
    public void encodePart(ChannelHandlerContext context, HttpObject part, List<Object> out) throws Exception {
        encode(context, part, out);
    }
}
