package org.verbenamast.core.gate.runs;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of chart {@code history}, the known earlier runs of a slice. */
public enum HistoryAction implements Action<HistoryData, HistoryInput> {
    /** Sends the run records of the slice to its next owner. */
    SEND_RECORDS {
        @Override
        public HistoryData apply(HistoryData data, HistoryInput input, long now, Effects effects) {
            input.controller().sendRecords(data.slice(), input.grant(), effects);
            return data;
        }
    }
}
