package org.verbenamast.relay.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpHeaders;
import org.verbenamast.wire.generated.RelayField;

/** Selects the header fields that a proxy forwards: all but those of a single connection and of the body's framing. */
public final class EndToEndFields {

    private static final Set<String> HOP_BY_HOP_FIELDS = Set.of(
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
     * Returns the fields to forward.
     *
     * @param headers all fields of the message
     * @param excluded matches the names of further fields that must not be forwarded
     * @return the remaining fields in their original order
     */
    public static List<RelayField> of(HttpHeaders headers, Predicate<String> excluded) {
        List<RelayField> fields = new ArrayList<>();
        for (Map.Entry<String, String> field : headers) {
            String name = field.getKey();
            if (!HOP_BY_HOP_FIELDS.contains(name.toLowerCase(Locale.ROOT)) && !excluded.test(name)) {
                fields.add(RelayField.newBuilder()
                        .setName(name)
                        .setValue(field.getValue())
                        .build());
            }
        }
        return fields;
    }
}
