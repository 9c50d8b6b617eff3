package org.verbenamast.core.membership;

import java.util.List;

import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.ownership.SliceGrant;
import org.verbenamast.core.store.Row;

/** Why a directory refuses a row. A refused row changes nothing. */
public enum RowFault {
    /** The row has an earlier version than the known one. */
    STALE {
        @Override
        boolean matches(Row row, Row known, ServiceSettings service) {
            return known != null && row.version() < known.version();
        }
    },
    /** The row has the same version as the known one but another value. */
    CONTRADICTORY {
        @Override
        boolean matches(Row row, Row known, ServiceSettings service) {
            return known != null
                    && row.version() == known.version()
                    && !row.value().equals(known.value());
        }
    },
    /** The row's value belongs under another key. */
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
    /** The number of a chunk, or the number of slices in its row, does not fit the service's settings. */
    MISSHAPEN {
        @Override
        boolean matches(Row row, Row known, ServiceSettings service) {
            if (service == null || !(row.value() instanceof ChunkRow chunk)) {
                return false;
            }
            return chunk.chunk() >= service.chunks() || chunk.grants().size() != service.slicesIn(chunk.chunk());
        }
    },
    /** The row gives a slice an earlier epoch (fencing token) than the known row does. */
    EPOCH_REVERTED {
        @Override
        boolean matches(Row row, Row known, ServiceSettings service) {
            if (known == null
                    || !(row.value() instanceof ChunkRow next)
                    || !(known.value() instanceof ChunkRow current)) {
                return false;
            }
            return hasEarlierEpoch(current.grants(), next.grants());
        }

        private boolean hasEarlierEpoch(List<SliceGrant> current, List<SliceGrant> next) {
            for (int i = 0; i < Math.min(current.size(), next.size()); i++) {
                if (next.get(i).epoch() < current.get(i).epoch()) {
                    return true;
                }
            }
            return false;
        }
    },
    /** The row gives another status to an incarnation that has ended, which is final. */
    REVIVED {
        @Override
        boolean matches(Row row, Row known, ServiceSettings service) {
            return known != null
                    && known.value() instanceof MemberRow current
                    && current.status().hasEnded()
                    && row.value() instanceof MemberRow next
                    && !next.status().hasEnded();
        }
    };

    /**
     * Returns whether a row has this fault.
     *
     * @param row the row
     * @param known the known row with the same key, or null
     * @param service the settings of the chunk's service, or null if the row is not a chunk or the service is not known
     * @return whether this fault applies
     */
    abstract boolean matches(Row row, Row known, ServiceSettings service);
}
