package org.verbenamast.core.watch;

import org.verbenamast.core.chart.Guard;

/** The guards of the chart of a followed table. */
public enum FollowGuard implements Guard<FollowData, FollowInput> {
    /** The next call follows at once, as no rows arrived or the table has no delay between calls. */
    GO_ON_AT_ONCE {
        @Override
        public boolean permits(FollowData data, FollowInput input, long now) {
            return input.empty() || data.table().batchDelayMillis() == 0;
        }
    },
    /** A newer row that another node knows has still not arrived. */
    STILL_BEHIND {
        @Override
        public boolean permits(FollowData data, FollowInput input, long now) {
            return data.isBehind();
        }
    },
    /** The store has answered another node since the silence time-out was started, which postpones it. */
    PROVEN_MEANWHILE {
        @Override
        public boolean permits(FollowData data, FollowInput input, long now) {
            return now < data.silenceDueAt();
        }
    }
}
