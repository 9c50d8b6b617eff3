package org.verbenamast.core.keys;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowTable;

/** The actions of the {@code tenure} chart: the key lease of a node. */
public enum KeyLeaseAction implements Action<KeyLeaseData, KeyLeaseInput> {
    /** Sets the server incarnation that the event names. */
    SET_SERVER {
        @Override
        public KeyLeaseData apply(KeyLeaseData data, KeyLeaseInput input, long now, Effects effects) {
            return data.withServer(input.incarnation());
        }
    },
    /** Clears the lease, which may have expired. */
    CLEAR_LEASE {
        @Override
        public KeyLeaseData apply(KeyLeaseData data, KeyLeaseInput input, long now, Effects effects) {
            return data.withoutLease();
        }
    },
    /** Reads the row of the lease. */
    READ_LEASE {
        @Override
        public KeyLeaseData apply(KeyLeaseData data, KeyLeaseInput input, long now, Effects effects) {
            KeyLeaseData next = data.withNextCall();
            effects.emit(next.readEffect(next.leaseRow()));
            return next;
        }
    },
    /** Reads the key map. The copy read is at least as recent as the lease. */
    READ_MAP {
        @Override
        public KeyLeaseData apply(KeyLeaseData data, KeyLeaseInput input, long now, Effects effects) {
            KeyLeaseData next = data.withNextCall();
            effects.emit(next.readEffect(new RowRef(RowTable.KEYS, next.service())));
            return next;
        }
    },
    /** Records the row version that the next write expects. */
    RECORD_VERSION {
        @Override
        public KeyLeaseData apply(KeyLeaseData data, KeyLeaseInput input, long now, Effects effects) {
            return data.withExpectedVersion(input.lease().orElseThrow().expectedVersion());
        }
    },
    /** Writes the lease, on condition that no other node has written its row. */
    WRITE_LEASE {
        @Override
        public KeyLeaseData apply(KeyLeaseData data, KeyLeaseInput input, long now, Effects effects) {
            KeyLeaseData next = data.withNextWrite(now);
            effects.emit(next.writeEffect());
            return next;
        }
    },
    /** Extends the lease; its duration is counted from when the write was sent. */
    EXTEND_LEASE {
        @Override
        public KeyLeaseData apply(KeyLeaseData data, KeyLeaseInput input, long now, Effects effects) {
            return data.withExtendedLease(input.version());
        }
    }
}
