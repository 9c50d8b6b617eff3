package org.verbenamast.core.membership;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.effect.StopReason;

/** The steps in the chart of this node's own membership. */
public enum MemberAction implements Action<MemberData, MemberInput> {
    /** Notes what the backend server announced. */
    NOTE_SERVER {
        @Override
        public MemberData apply(MemberData data, MemberInput input, long now, Effects effects) {
            return new MemberData(input.announcement(), data.desk());
        }
    },
    /** Writes the row as that of a member that takes work. */
    WRITE_ACTIVE {
        @Override
        public MemberData apply(MemberData data, MemberInput input, long now, Effects effects) {
            data.desk().write(data.announcement(), MemberStatus.ACTIVE, now, effects);
            return data;
        }
    },
    /** Writes the row as that of a member whose backend server takes no work. */
    WRITE_WITHDRAWN {
        @Override
        public MemberData apply(MemberData data, MemberInput input, long now, Effects effects) {
            data.desk().write(data.announcement(), MemberStatus.WITHDRAWN, now, effects);
            return data;
        }
    },
    /** Writes the row as that of a member that is stopping. */
    WRITE_LEAVING {
        @Override
        public MemberData apply(MemberData data, MemberInput input, long now, Effects effects) {
            data.desk().write(data.announcement(), MemberStatus.LEAVING, now, effects);
            return data;
        }
    },
    /** Writes the row as that of an incarnation that has ended. */
    WRITE_ENDED {
        @Override
        public MemberData apply(MemberData data, MemberInput input, long now, Effects effects) {
            data.desk().write(data.announcement(), MemberStatus.ENDED, now, effects);
            return data;
        }
    },
    /** Lets the process exit, as it was asked to. */
    TELL_STOPPED {
        @Override
        public MemberData apply(MemberData data, MemberInput input, long now, Effects effects) {
            effects.emit(new Effect.StopProcess(StopReason.ASKED));
            return data;
        }
    },
    /** Lets the process exit, so that it starts as another incarnation: others have ended this one. */
    TELL_ENDED {
        @Override
        public MemberData apply(MemberData data, MemberInput input, long now, Effects effects) {
            effects.emit(new Effect.StopProcess(StopReason.ENDED_BY_OTHERS));
            return data;
        }
    }
}
