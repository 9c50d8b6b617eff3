package org.verbenamast.core.gate.runs;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.SliceId;

/**
 * Counts the parts of earlier owners' records that have arrived. A part may arrive before this node knows of its grant.
 */
final class ReceivedRecords {

    private final Map<SliceId, ReceivedParts> received = new HashMap<>();

    void add(PeerMessage.RunRecords part) {
        ReceivedParts known = received.get(part.slice());
        if (known == null || known.epoch() < part.epoch()) {
            known = new ReceivedParts(part.epoch(), part.parts(), new BitSet());
            received.put(part.slice(), known);
        }
        if (known.epoch() == part.epoch()) {
            known.partNumbers().set(part.part());
        }
    }

    boolean isComplete(SliceId slice, long epoch) {
        ReceivedParts known = received.get(slice);
        return known != null && known.epoch() == epoch && known.partNumbers().cardinality() == known.expected();
    }

    private record ReceivedParts(long epoch, int expected, BitSet partNumbers) {}
}
