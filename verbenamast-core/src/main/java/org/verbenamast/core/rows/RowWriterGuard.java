package org.verbenamast.core.rows;

import org.verbenamast.core.chart.Guard;

/** The conditions of a part of a node that keeps rows in the store. */
public enum RowWriterGuard implements Guard<RowWriterData, RowWriterInput> {
    /** The rows are not as they should be. */
    CHANGE_WANTED {
        @Override
        public boolean permits(RowWriterData data, RowWriterInput input, long now) {
            return !input.changes().isEmpty();
        }
    }
}
