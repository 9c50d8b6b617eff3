package org.verbenamast.relay.net;

import java.util.List;
import java.util.Objects;
import java.util.Queue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;

/** Encodes responses. A response to a HEAD request has no body, whatever its fields say. */
final class ResponseEncoder extends HttpResponseEncoder implements PartEncoder {

    private final Queue<HttpMethod> methods;

    /** Creates an encoder; it takes the methods of the requests that its responses answer from the queue. */
    ResponseEncoder(Queue<HttpMethod> methods) {
        this.methods = Objects.requireNonNull(methods, "methods");
    }

    @Override
    public void encodePart(ChannelHandlerContext context, HttpObject part, List<Object> out) throws Exception {
        encode(context, part, out);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return super.isContentAlwaysEmpty(response);
        }
        return HttpMethod.HEAD.equals(methods.poll()) || super.isContentAlwaysEmpty(response);
    }
}
