package org.verbenamast.relay.net;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Decodes one response at a time. It stops after the end of each, so that bytes which follow it on the connection never
 * become part of the next response unnoticed.
 */
final class ResponseDecoder extends HttpResponseDecoder implements PartDecoder {

    private static final Pattern STATUS = Pattern.compile("[1-5][0-9][0-9]");
    /** A status line within a head: the head began with a fragment of another response. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]");

    private HttpMethod method = HttpMethod.GET;
    private boolean stopped;

    ResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Sets the method of the request whose response is decoded next. */
    void setMethod(HttpMethod next) {
        method = next;
    }

    /** Continues with the next response on the connection. */
    void resume() {
        stopped = false;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (!stopped) {
            super.decode(context, in, out);
            stopped = !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
        }
    }

    /** Refuses a status that is none, which the codec would read as a number, as a response that can't be decoded. */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!STATUS.matcher(initialLine[1]).matches()) {
            throw new IllegalArgumentException("status should be a number from 100 to 599: " + initialLine[1]);
        }
        return super.createMessage(initialLine);
    }

    @Override
    public void decodePart(ByteBuf in, List<Object> out) throws Exception {
        decode(null, in, out);
    }

    @Override
    public void decodeLastPart(ByteBuf in, List<Object> out) throws Exception {
        decodeLast(null, in, out);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
        // No request asks for another protocol.
        return false;
    }

    /** Returns whether a head contains a status line beside its own, so that its status may be of another response. */
    static boolean isMerged(HttpResponse head) {
        if (containsStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> field : head.headers()) {
            if (containsStatusLine(field.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains("HTTP/1.") && STATUS_LINE.matcher(text).find();
    }
}
