package org.verbenamast.core.watch;

import org.verbenamast.core.chart.Guard;

/** The guards of the chart of a followed table. */
public enum FollowGuard implements Guard<FollowData, FollowInput> {
    /** The next call follows at once, as no rows arrived or nothing delays the next call. */
    GO_ON_AT_ONCE {
        @Override
        public boolean permits(FollowData data, FollowInput input, long now) {
            return input.empty() || data.pauseNanos(now) == 0;
        }
    },
    /** Another call, which may still be answered, is pending beside the one that has ended. */
    ANOTHER_CALL_PENDING {
        @Override
        public boolean permits(FollowData data, FollowInput input, long now) {
            return !data.calls().others(input.callId()).isEmpty();
        }
    },
    /** The row that another node knows is newer than any that this node is known to lack. */
    NOT_YET_WANTED {
        @Override
        public boolean permits(FollowData data, FollowInput input, long now) {
            return input.latest() > data.wanted();
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
