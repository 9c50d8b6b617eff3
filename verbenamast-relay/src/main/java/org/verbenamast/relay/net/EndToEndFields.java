package org.verbenamast.relay.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpHeaders;
import org.verbenamast.wire.generated.RelayField;

/** The header fields of a message that are passed on: those that don't concern one connection or the body's framing. */
public final class EndToEndFields {

    private static final Set<String> ONE_HOP = Set.of(
            "connection",
            "content-length",
            "expect",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private EndToEndFields() {}

    /**
     * Collects the fields that are passed on.
     *
     * @param headers all fields of the message
     * @param leftOut tells which further fields, by name, are not passed on
     * @return the fields in their order
     */
    public static List<RelayField> of(HttpHeaders headers, Predicate<String> leftOut) {
        List<RelayField> fields = new ArrayList<>();
        for (Map.Entry<String, String> field : headers) {
            String name = field.getKey();
            if (!ONE_HOP.contains(name.toLowerCase(Locale.ROOT)) && !leftOut.test(name)) {
                fields.add(RelayField.newBuilder()
                        .setName(name)
                        .setValue(field.getValue())
                        .build());
            }
        }
        return fields;
    }
}
