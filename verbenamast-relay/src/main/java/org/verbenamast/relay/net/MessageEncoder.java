package org.verbenamast.relay.net;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;

import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Encodes messages to the bytes of a connection. Joins each head as one string, whose bytes are copied as a whole:
 * Netty's encoder copies each character on its own, which is slow in code that is not compiled yet.
 */
final class MessageEncoder {

    private static final int HEAD_CHARACTERS = 512;

    private final Queue<HttpMethod> methods;
    private BodyFraming framing = BodyFraming.NONE;

    /** Creates an encoder; it takes the methods of the requests that its responses answer from the queue. */
    MessageEncoder(Queue<HttpMethod> methods) {
        this.methods = Objects.requireNonNull(methods, "methods");
    }

    /** Encodes a head, or a whole message. */
    byte[] encode(HttpMessage message) {
        framing = message instanceof HttpResponse response ? framing(response) : BodyFraming.of(message);
        byte[] head = head(message).getBytes(StandardCharsets.ISO_8859_1);
        if (!(message instanceof FullHttpMessage whole)) {
            return head;
        }
        return join(join(head, piece(HttpCodec.bytes(whole))), end());
    }

    /** Encodes a piece of the body. */
    byte[] piece(byte[] bytes) {
        return framing.piece(bytes);
    }

    /** Encodes the end of the body. */
    byte[] end() {
        return framing.end();
    }

    /** Returns the framing of a response and removes the fields that contradict its status. */
    private BodyFraming framing(HttpResponse response) {
        HttpResponseStatus status = response.status();
        HttpHeaders headers = response.headers();
        boolean informational = status.codeClass() == HttpStatusClass.INFORMATIONAL;
        HttpMethod method = informational ? null : methods.poll();
        boolean noContent = informational || status.code() == HttpResponseStatus.NO_CONTENT.code();
        boolean resetContent = status.code() == HttpResponseStatus.RESET_CONTENT.code();
        boolean isEmpty = noContent
                || resetContent
                || status.code() == HttpResponseStatus.NOT_MODIFIED.code()
                || HttpMethod.HEAD.equals(method);
        boolean tunnel = !isEmpty && HttpMethod.CONNECT.equals(method) && status.codeClass() == HttpStatusClass.SUCCESS;
        if (noContent || resetContent || tunnel) {
            headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        }
        if (noContent) {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        } else if (resetContent) {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
        }
        return isEmpty ? BodyFraming.NONE : BodyFraming.of(response);
    }

    private static String head(HttpMessage message) {
        StringBuilder head = new StringBuilder(HEAD_CHARACTERS);
        if (message instanceof HttpRequest request) {
            String target = request.uri().isEmpty() ? "/" : request.uri();
            head.append(request.method().name()).append(' ').append(target).append(' ');
            head.append(request.protocolVersion().text());
        } else if (message instanceof HttpResponse response) {
            head.append(response.protocolVersion().text()).append(' ');
            head.append(response.status().code()).append(' ');
            head.append(response.status().reasonPhrase());
        }
        head.append(BodyFraming.CRLF);
        Iterator<Map.Entry<CharSequence, CharSequence>> fields =
                message.headers().iteratorCharSequence();
        while (fields.hasNext()) {
            Map.Entry<CharSequence, CharSequence> field = fields.next();
            head.append(field.getKey().toString()).append(": ");
            head.append(field.getValue().toString()).append(BodyFraming.CRLF);
        }
        return head.append(BodyFraming.CRLF).toString();
    }

    private static byte[] join(byte[] first, byte[] second) {
        if (second.length == 0) {
            return first;
        }
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }
}
