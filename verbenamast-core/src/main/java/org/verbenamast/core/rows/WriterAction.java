package org.verbenamast.core.rows;

import java.util.List;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps of a part of a node that keeps rows in the store. */
public enum WriterAction implements Action<WriterData, WriterInput> {
    /** Writes the changes in one transaction. */
    COMMIT {
        @Override
        public WriterData apply(WriterData data, WriterInput input, long now, Effects effects) {
            WriterData next = data.committing(input.changes());
            effects.emit(new StoreEffect.Commit(next.purpose(), next.ticket(), next.changes()));
            return next;
        }
    },
    /** Reads the rows whose change has an unknown effect. */
    READ_BACK {
        @Override
        public WriterData apply(WriterData data, WriterInput input, long now, Effects effects) {
            WriterData next = data.reading();
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
        public WriterData apply(WriterData data, WriterInput input, long now, Effects effects) {
            List<StoredRow> written = data.changes().stream()
                    .map(change -> change.committed(input.version()))
                    .toList();
            data.replica().take(written);
            List<StoredRow> followed =
                    written.stream().filter(row -> row.ref().table().followed()).toList();
            effects.emit(new SpreadRows(followed));
            return data;
        }
    },
    /** Takes the rows that came with the answer. */
    TAKE_ROWS {
        @Override
        public WriterData apply(WriterData data, WriterInput input, long now, Effects effects) {
            data.replica().take(input.rows());
            return data;
        }
    }
}
