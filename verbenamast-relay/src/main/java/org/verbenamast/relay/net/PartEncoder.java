package org.verbenamast.relay.net;

import java.util.List;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpObject;

/** An encoder of Netty's that is called without a channel of its own. */
interface PartEncoder {

    /**
     * Encodes a part of a message.
     *
     * @param context supplies the allocator of buffers; encoders use nothing else of it
     * @param part a head, a whole message, or a piece of a body
     * @param out receives the buffers with the bytes to send
     * @throws Exception if the part does not follow the one before
     */
    void encodePart(ChannelHandlerContext context, HttpObject part, List<Object> out) throws Exception;
}
