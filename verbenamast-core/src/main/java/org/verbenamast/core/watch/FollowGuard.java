package org.verbenamast.core.watch;

import org.verbenamast.core.chart.Guard;

/** The conditions of a followed table. */
public enum FollowGuard implements Guard<FollowData, FollowInput> {
    /** The next call is made at once. */
    GO_ON_AT_ONCE {
        @Override
        public boolean permits(FollowData data, FollowInput input, long now) {
            return input.empty() || data.table().batchDelayMillis() == 0;
        }
    },
    /** A newer row that another node knows has still not come. */
    STILL_BEHIND {
        @Override
        public boolean permits(FollowData data, FollowInput input, long now) {
            return data.isBehind();
        }
    },
    /** Another node has heard from the store since the wait for silence began. */
    PROVEN_MEANWHILE {
        @Override
        public boolean permits(FollowData data, FollowInput input, long now) {
            return now < data.silenceDueAt();
        }
    }
}
