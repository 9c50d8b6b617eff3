package org.verbenamast.core.rows;

import org.verbenamast.core.chart.Guard;

/** The conditions of a part of a node that keeps rows in the store. */
public enum WriterGuard implements Guard<WriterData, WriterInput> {
    /** The rows are not as they should be. */
    CHANGE_WANTED {
        @Override
        public boolean permits(WriterData data, WriterInput input, long now) {
            return !input.changes().isEmpty();
        }
    }
}
