package org.verbenamast.core.rows;

import java.util.List;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of the chart of a row writer. */
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
    /** Reads the rows of a transaction whose effect is unknown. */
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
    /** Applies the written rows to the replica and sends those of followed tables to the other members. */
    APPLY_WRITTEN {
        @Override
        public RowWriterData apply(RowWriterData data, RowWriterInput input, long now, Effects effects) {
            List<StoredRow> written = data.changes().stream()
                    .map(change -> change.committedRow(input.version()))
                    .toList();
            data.replica().apply(written);
            send(written, effects);
            return data;
        }
    },
    /** Applies the rows in the store's answer to the replica. */
    APPLY_ROWS {
        @Override
        public RowWriterData apply(RowWriterData data, RowWriterInput input, long now, Effects effects) {
            data.replica().apply(input.rows());
            return data;
        }
    },
    /** Sends the rows in the store's answer to the other members: the transaction may have written them. */
    SEND_ROWS {
        @Override
        public RowWriterData apply(RowWriterData data, RowWriterInput input, long now, Effects effects) {
            send(input.rows(), effects);
            return data;
        }
    };

    private static void send(List<StoredRow> rows, Effects effects) {
        List<StoredRow> followed =
                rows.stream().filter(row -> row.ref().table().isFollowed()).toList();
        effects.emit(new BroadcastRows(followed));
    }
}
