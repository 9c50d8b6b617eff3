package org.verbenamast.core.membership;

import org.verbenamast.core.chart.Guard;

/** The guards of the membership chart. */
public enum MemberGuard implements Guard<MemberData, MemberInput> {
    /** The announcement comes from another incarnation of the backend server than the last one did. */
    SERVER_RESTARTED {
        @Override
        public boolean permits(MemberData data, MemberInput input, long now) {
            return !input.announcement().start().equals(data.announcement().start());
        }
    }
}
