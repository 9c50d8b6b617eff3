package org.verbenamast.core.watch;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps of a followed table. */
public enum FollowAction implements Action<FollowData, FollowInput> {
    /** Reads all rows. */
    READ_ALL {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            FollowData next = data.calling();
            effects.emit(new FollowEffect.ReadAll(next.table(), next.ticket()));
            return next;
        }
    },
    /** Waits for changes. */
    AWAIT {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            FollowData next = data.calling();
            effects.emit(new FollowEffect.Await(next.table(), next.version(), next.ticket()));
            return next;
        }
    },
    /** Notes how far the table was followed. */
    NOTE_VERSION {
        @Override
        public FollowData apply(FollowData data, FollowInput input, long now, Effects effects) {
            return data.reached(input.version());
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
