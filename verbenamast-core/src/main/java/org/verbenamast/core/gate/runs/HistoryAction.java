package org.verbenamast.core.gate.runs;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps in the chart of what an owner knows of the earlier runs in a slice. */
public enum HistoryAction implements Action<HistoryData, HistoryInput> {
    /** Sends the slice's records to its next owner. */
    SEND_RECORDS {
        @Override
        public HistoryData apply(HistoryData data, HistoryInput input, long now, Effects effects) {
            input.desk().sendRecords(data.slice(), input.grant(), effects);
            return data;
        }
    }
}
