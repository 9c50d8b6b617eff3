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
            RowWriterData next = data.committing(input.changes());
            effects.emit(new StoreEffect.Commit(next.purpose(), next.ticket(), next.changes()));
            return next;
        }
    },
    /** Reads the rows whose change has an unknown effect. */
    READ_BACK {
        @Override
        public RowWriterData apply(RowWriterData data, RowWriterInput input, long now, Effects effects) {
            RowWriterData next = data.reading();
            effects.emit(new StoreEffect.Read(
                    next.purpose(),
                    next.ticket(),
                    next.changes().stream().map(RowChange::ref).toList()));
            return next;
        }
    },
    /** Takes the rows as they were written and tells the other members. */
    TAKE_WRITTEN {
        @Override
        public RowWriterData apply(RowWriterData data, RowWriterInput input, long now, Effects effects) {
            List<StoredRow> written = data.changes().stream()
                    .map(change -> change.committed(input.version()))
                    .toList();
            data.replica().take(written);
            List<StoredRow> followed =
                    written.stream().filter(row -> row.ref().table().followed()).toList();
            effects.emit(new BroadcastRows(followed));
            return data;
        }
    },
    /** Takes the rows that came with the answer. */
    TAKE_ROWS {
        @Override
        public RowWriterData apply(RowWriterData data, RowWriterInput input, long now, Effects effects) {
            data.replica().take(input.rows());
            return data;
        }
    }
}
