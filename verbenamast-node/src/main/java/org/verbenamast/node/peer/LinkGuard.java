package org.verbenamast.node.peer;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of a link. */
public enum LinkGuard implements Guard<LinkData, LinkInput> {
    /** Too many bytes wait to be written. */
    BACKLOG_FULL {
        @Override
        public boolean permits(LinkData data, LinkInput input, long now) {
            return data.link().backlogFull();
        }
    }
}
