package org.verbenamast.core.membership;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.effect.StopReason;

/** The actions of the membership chart. */
public enum MemberAction implements Action<MemberData, MemberInput> {
    /** Records the backend server's announcement. */
    RECORD_ANNOUNCEMENT {
        @Override
        public MemberData apply(MemberData data, MemberInput input, long now, Effects effects) {
            return new MemberData(input.announcement(), data.controller());
        }
    },
    /** Writes the row with the status of a member that accepts work. */
    WRITE_ACTIVE {
        @Override
        public MemberData apply(MemberData data, MemberInput input, long now, Effects effects) {
            data.controller().writeRow(data.announcement(), MemberStatus.ACTIVE, now, effects);
            return data;
        }
    },
    /** Writes the row with the status of a member whose backend server accepts no work. */
    WRITE_WITHDRAWN {
        @Override
        public MemberData apply(MemberData data, MemberInput input, long now, Effects effects) {
            data.controller().writeRow(data.announcement(), MemberStatus.WITHDRAWN, now, effects);
            return data;
        }
    },
    /** Writes the row with the status of a member that is stopping. */
    WRITE_LEAVING {
        @Override
        public MemberData apply(MemberData data, MemberInput input, long now, Effects effects) {
            data.controller().writeRow(data.announcement(), MemberStatus.LEAVING, now, effects);
            return data;
        }
    },
    /** Writes the row with the status of an incarnation that has ended. */
    WRITE_ENDED {
        @Override
        public MemberData apply(MemberData data, MemberInput input, long now, Effects effects) {
            data.controller().writeRow(data.announcement(), MemberStatus.ENDED, now, effects);
            return data;
        }
    },
    /** Reports that the node has stopped as requested, so that the process exits. */
    REPORT_STOPPED {
        @Override
        public MemberData apply(MemberData data, MemberInput input, long now, Effects effects) {
            effects.emit(new Effect.StopProcess(StopReason.ASKED));
            return data;
        }
    },
    /** Reports that others have ended this incarnation, so that the process exits and starts as another one. */
    REPORT_ENDED {
        @Override
        public MemberData apply(MemberData data, MemberInput input, long now, Effects effects) {
            effects.emit(new Effect.StopProcess(StopReason.ENDED_BY_OTHERS));
            return data;
        }
    }
}
