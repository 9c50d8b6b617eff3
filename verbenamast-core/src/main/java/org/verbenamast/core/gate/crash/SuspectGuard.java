package org.verbenamast.core.gate.crash;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of a suspected request. */
public enum SuspectGuard implements Guard<SuspectData, SuspectInput> {
    /** The incident is known. */
    KNOWN_INCIDENT {
        @Override
        public boolean permits(SuspectData data, SuspectInput input, long now) {
            return data.knows(input.incident());
        }
    },
    /** The confirmed incident is the second one. */
    SECOND_CRASH {
        @Override
        public boolean permits(SuspectData data, SuspectInput input, long now) {
            return data.confirmed(input.incident()).crashes() > 1;
        }
    },
    /** One incident is left without the dismissed one. */
    ONE_LEFT {
        @Override
        public boolean permits(SuspectData data, SuspectInput input, long now) {
            return data.dismissed(input.incident()).incidents() == 1;
        }
    },
    /** No incident is left without the dismissed one. */
    NONE_LEFT {
        @Override
        public boolean permits(SuspectData data, SuspectInput input, long now) {
            return data.dismissed(input.incident()).incidents() == 0;
        }
    }
}
