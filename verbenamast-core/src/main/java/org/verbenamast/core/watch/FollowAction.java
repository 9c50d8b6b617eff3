package org.verbenamast.core.watch;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.node.Timing;

/** The steps of a followed table. */
public enum FollowAction implements Action<FollowData, FollowInput> {
    /** Reads all rows. */
    READ_ALL {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            FollowData next = data.calling(now);
            effects.emit(new FollowEffect.ReadAll(next.table(), next.ticket()));
            return next;
        }
    },
    /** Waits for changes. */
    AWAIT {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            FollowData next = data.calling(now);
            long wait = next.table().waitMillis(data.random().getAsDouble());
            effects.emit(new FollowEffect.Await(next.table(), next.version(), wait, next.ticket()));
            return next;
        }
    },
    /** Notes how far the table was followed. */
    NOTE_VERSION {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.reached(input, now);
        }
    },
    /** Begins the pause after a change. */
    PAUSE {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.pausingUntil(now + Timing.millisToNanos(data.table().pauseMillis()));
        }
    },
    /** Notes a row that came in another way. */
    NOTE_ROW {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.saw(input.latest());
        }
    },
    /** Notes a row that another node knows. */
    NOTE_TOLD {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.toldOf(input.latest());
        }
    },
    /** Notes when the store answered another node. */
    NOTE_PROOF {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.provenAt(input.provenAt());
        }
    },
    /** Counts a failure. */
    COUNT_FAILURE {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.failed();
        }
    }
}
