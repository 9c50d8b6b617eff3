package org.verbenamast.relay.net;

import java.util.List;

import io.netty.buffer.ByteBuf;

/** A decoder of Netty's that is called without a channel. */
interface PartDecoder {

    /**
     * Decodes a part of a message from the readable bytes, if they hold one.
     *
     * @param in the bytes; those of the part are consumed
     * @param out receives the part
     * @throws Exception if the bytes are not HTTP at all
     */
    void decodePart(ByteBuf in, List<Object> out) throws Exception;

    /**
     * Decodes what remains once the peer has closed its half of the connection.
     *
     * @param in the remaining bytes
     * @param out receives the parts
     * @throws Exception if the bytes are not HTTP at all
     */
    void decodeLastPart(ByteBuf in, List<Object> out) throws Exception;
}
