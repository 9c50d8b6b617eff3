package org.verbenamast.core.gate.runs;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.SliceId;

/** Counts the parts of earlier owners' records, which may come before the grant is known here. */
final class RunArrivals {

    private final Map<SliceId, Arrived> arrived = new HashMap<>();

    void came(PeerMessage.RunRecords part) {
        Arrived known = arrived.get(part.slice());
        if (known == null || known.epoch() < part.epoch()) {
            known = new Arrived(part.epoch(), part.parts(), new BitSet());
            arrived.put(part.slice(), known);
        }
        if (known.epoch() == part.epoch()) {
            known.numbers().set(part.part());
        }
    }

    boolean complete(SliceId slice, long epoch) {
        Arrived known = arrived.get(slice);
        return known != null && known.epoch() == epoch && known.numbers().cardinality() == known.parts();
    }

    private record Arrived(long epoch, int parts, BitSet numbers) {}
}
