package org.verbenamast.core.keys;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowTable;

/** The steps of a tenure. */
public enum KeyLeaseAction implements Action<KeyLeaseData, KeyLeaseInput> {
    /** Begins with the run of the server that the event names. */
    TAKE_SERVER {
        @Override
        public KeyLeaseData apply(KeyLeaseData data, KeyLeaseInput input, long now, Effects effects) {
            return data.of(input.life());
        }
    },
    /** Forgets the lease: it may have ended. */
    FORGET {
        @Override
        public KeyLeaseData apply(KeyLeaseData data, KeyLeaseInput input, long now, Effects effects) {
            return data.forgotten();
        }
    },
    /** Reads the lease's row. */
    READ_LEASE {
        @Override
        public KeyLeaseData apply(KeyLeaseData data, KeyLeaseInput input, long now, Effects effects) {
            KeyLeaseData next = data.calling();
            effects.emit(next.read(next.leaseRow()));
            return next;
        }
    },
    /** Reads the key map, which is then at least as new as the lease. */
    READ_MAP {
        @Override
        public KeyLeaseData apply(KeyLeaseData data, KeyLeaseInput input, long now, Effects effects) {
            KeyLeaseData next = data.calling();
            effects.emit(next.read(new RowRef(RowTable.KEYS, next.service())));
            return next;
        }
    },
    /** Notes the version that the next write is to expect. */
    NOTE_VERSION {
        @Override
        public KeyLeaseData apply(KeyLeaseData data, KeyLeaseInput input, long now, Effects effects) {
            return data.expecting(input.lease().orElseThrow().expectedVersion());
        }
    },
    /** Writes the lease under the condition that nobody else did. */
    WRITE_LEASE {
        @Override
        public KeyLeaseData apply(KeyLeaseData data, KeyLeaseInput input, long now, Effects effects) {
            KeyLeaseData next = data.writing(now);
            effects.emit(next.write());
            return next;
        }
    },
    /** Counts the lease from when the write was sent. */
    EXTEND {
        @Override
        public KeyLeaseData apply(KeyLeaseData data, KeyLeaseInput input, long now, Effects effects) {
            return data.extended(input.version());
        }
    }
}
