package org.verbenamast.core.backend;

import org.verbenamast.core.chart.Guard;

/** The guards of chart {@code notice-request}, a notice of the backend server. */
public enum NoticeGuard implements Guard<NoticeData, NoticeInput> {
    /** The server has announced something that a later process of the node would not know. */
    UNRECORDED {
        @Override
        public boolean permits(NoticeData data, NoticeInput input, long now) {
            return !input.recorded();
        }
    }
}
