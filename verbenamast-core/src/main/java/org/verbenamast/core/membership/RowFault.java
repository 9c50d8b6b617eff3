package org.verbenamast.core.membership;

import java.util.List;

import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.ownership.SliceGrant;
import org.verbenamast.core.store.Row;

/** Why a row is refused. A refused row changes nothing that is in force. */
public enum RowFault {
    /** The row is earlier than the one that is known. */
    STALE {
        @Override
        boolean matches(Row row, Row known, ServiceSettings service) {
            return known != null && row.version() < known.version();
        }
    },
    /** The row has the version of the one that is known but holds something else. */
    CONTRADICTORY {
        @Override
        boolean matches(Row row, Row known, ServiceSettings service) {
            return known != null
                    && row.version() == known.version()
                    && !row.value().equals(known.value());
        }
    },
    /** What the row holds belongs under another key. */
    MISPLACED {
        @Override
        boolean matches(Row row, Row known, ServiceSettings service) {
            if (row.value() instanceof MemberRow member) {
                return !row.key().equals(MemberRow.keyOf(member.id()));
            }
            return row.value() instanceof ChunkRow chunk
                    && !row.key().equals(ChunkRow.keyOf(chunk.service(), chunk.chunk()));
        }
    },
    /** The row of a chunk does not have the slices that the service's settings give the chunk. */
    MISSHAPEN {
        @Override
        boolean matches(Row row, Row known, ServiceSettings service) {
            if (service == null || !(row.value() instanceof ChunkRow chunk)) {
                return false;
            }
            return chunk.chunk() >= service.chunks() || chunk.grants().size() != service.slicesIn(chunk.chunk());
        }
    },
    /** The row gives a slice an earlier epoch than the slice has had. */
    EPOCH_REVERTED {
        @Override
        boolean matches(Row row, Row known, ServiceSettings service) {
            if (known == null || !(row.value() instanceof ChunkRow next) || !(known.value() instanceof ChunkRow now)) {
                return false;
            }
            return reverted(now.grants(), next.grants());
        }

        private boolean reverted(List<SliceGrant> now, List<SliceGrant> next) {
            for (int i = 0; i < Math.min(now.size(), next.size()); i++) {
                if (next.get(i).epoch() < now.get(i).epoch()) {
                    return true;
                }
            }
            return false;
        }
    },
    /** The row says that an incarnation lives which has ended. */
    REVIVED {
        @Override
        boolean matches(Row row, Row known, ServiceSettings service) {
            return known != null
                    && known.value() instanceof MemberRow now
                    && now.status().hasEnded()
                    && row.value() instanceof MemberRow next
                    && !next.status().hasEnded();
        }
    };

    /**
     * Tells whether a row has this fault.
     *
     * @param row the row
     * @param known the row that is known under the key, or null
     * @param service the settings of a chunk's service, or null where the row is no chunk or the service is not known
     * @return whether it has
     */
    abstract boolean matches(Row row, Row known, ServiceSettings service);
}
