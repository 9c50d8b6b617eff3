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
    /** The call is not the last one: a later one has replaced it and decides what follows. */
    REPLACED {
        @Override
        public boolean permits(FollowData data, FollowInput input, long now) {
            return input.callId() != data.calls().lastId();
        }
    },
    /** The answer has no rows, and the call that has replaced its call is still pending. */
    EMPTY_AND_REPLACED {
        @Override
        public boolean permits(FollowData data, FollowInput input, long now) {
            return input.empty()
                    && REPLACED.permits(data, input, now)
                    && data.calls().isPending(data.calls().lastId());
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
