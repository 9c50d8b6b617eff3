package org.verbenamast.core.rows;

import org.verbenamast.core.chart.Guard;

/** The guards of the chart of a row writer. */
public enum RowWriterGuard implements Guard<RowWriterData, RowWriterInput> {
    /** At least one row needs a change. */
    CHANGE_WANTED {
        @Override
        public boolean permits(RowWriterData data, RowWriterInput input, long now) {
            return !input.changes().isEmpty();
        }
    }
}
