package org.verbenamast.relay.net;

import java.util.List;
import java.util.Queue;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests, and records the method of each for the encoder of its response. */
final class RequestDecoder extends HttpRequestDecoder implements PartDecoder {

    private final Queue<HttpMethod> methods;

    RequestDecoder(HttpDecoderConfig config, Queue<HttpMethod> methods) {
        super(config);
        this.methods = methods;
    }

    @Override
    public void decodePart(ByteBuf in, List<Object> out) throws Exception {
        decode(null, in, out);
        for (int i = 0; i < out.size(); i++) {
            if (out.get(i) instanceof HttpRequest request) {
                methods.add(request.method());
            }
        }
    }

    @Override
    public void decodeLastPart(ByteBuf in, List<Object> out) throws Exception {
        decodeLast(null, in, out);
    }
}
