package org.verbenamast.core.rows;

import java.util.List;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps of a part of a node that keeps rows in the store. */
public enum RowWriterAction implements Action<RowWriterData, RowWriterInput> {
    /** Writes the changes in one transaction. */
    COMMIT {
        @Override
        public RowWriterData apply(RowWriterData data, RowWriterInput input, long now, Effects effects) {
            RowWriterData next = data.withCommit(input.changes());
            effects.emit(new StoreEffect.Commit(next.purpose(), next.callId(), next.changes()));
            return next;
        }
    },
    /** Reads the rows whose change has an unknown effect. */
    READ_BACK {
        @Override
        public RowWriterData apply(RowWriterData data, RowWriterInput input, long now, Effects effects) {
            RowWriterData next = data.withRead();
            effects.emit(new StoreEffect.Read(
                    next.purpose(),
                    next.callId(),
                    next.changes().stream().map(RowChange::ref).toList()));
            return next;
        }
    },
    /** Takes the rows as they were written and tells the other members. */
    APPLY_WRITTEN {
        @Override
        public RowWriterData apply(RowWriterData data, RowWriterInput input, long now, Effects effects) {
            List<StoredRow> written = data.changes().stream()
                    .map(change -> change.committedRow(input.version()))
                    .toList();
            data.replica().apply(written);
            List<StoredRow> followed = written.stream()
                    .filter(row -> row.ref().table().isFollowed())
                    .toList();
            effects.emit(new BroadcastRows(followed));
            return data;
        }
    },
    /** Takes the rows that came with the answer. */
    APPLY_ROWS {
        @Override
        public RowWriterData apply(RowWriterData data, RowWriterInput input, long now, Effects effects) {
            data.replica().apply(input.rows());
            return data;
        }
    }
}
