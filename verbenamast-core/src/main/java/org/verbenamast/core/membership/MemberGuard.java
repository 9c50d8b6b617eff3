package org.verbenamast.core.membership;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of this node's own membership. */
public enum MemberGuard implements Guard<MemberData, MemberInput> {
    /** The announcement is of another run of the backend server than the row names. */
    SERVER_RESTARTED {
        @Override
        public boolean permits(MemberData data, MemberInput input, long now) {
            return !input.announcement().start().equals(data.announcement().start());
        }
    }
}
