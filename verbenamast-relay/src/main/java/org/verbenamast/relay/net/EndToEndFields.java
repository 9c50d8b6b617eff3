package org.verbenamast.relay.net;

import java.util.ArrayList;
import java.util.BitSet;
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

    private static final BitSet HOP_BY_HOP_LENGTHS = lengths();

    private EndToEndFields() {}

    private static BitSet lengths() {
        BitSet lengths = new BitSet();
        HOP_BY_HOP_FIELDS.forEach(name -> lengths.set(name.length()));
        return lengths;
    }

    /** Returns whether a field belongs to one connection; the length alone rules out most names. */
    private static boolean isHopByHop(String name) {
        return HOP_BY_HOP_LENGTHS.get(name.length()) && HOP_BY_HOP_FIELDS.contains(name.toLowerCase(Locale.ROOT));
    }

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
            if (!isHopByHop(name) && !excluded.test(name)) {
                fields.add(RelayField.newBuilder()
                        .setName(name)
                        .setValue(field.getValue())
                        .build());
            }
        }
        return fields;
    }
}
