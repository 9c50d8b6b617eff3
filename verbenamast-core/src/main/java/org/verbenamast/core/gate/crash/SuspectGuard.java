package org.verbenamast.core.gate.crash;

import org.verbenamast.core.chart.Guard;

/** The guards of chart {@code suspect}, a suspected request. */
public enum SuspectGuard implements Guard<SuspectData, SuspectInput> {
    /** The incident is already known for this request. */
    KNOWN_INCIDENT {
        @Override
        public boolean permits(SuspectData data, SuspectInput input, long now) {
            return data.knows(input.incident());
        }
    },
    /** At least two incidents are confirmed as crashes, including this one. */
    SECOND_CRASH {
        @Override
        public boolean permits(SuspectData data, SuspectInput input, long now) {
            return data.withCrash(input.incident()).crashes() > 1;
        }
    },
    /** One incident remains without the dismissed one. */
    ONE_LEFT {
        @Override
        public boolean permits(SuspectData data, SuspectInput input, long now) {
            return data.withoutIncident(input.incident()).incidents() == 1;
        }
    },
    /** No incident remains without the dismissed one. */
    NONE_LEFT {
        @Override
        public boolean permits(SuspectData data, SuspectInput input, long now) {
            return data.withoutIncident(input.incident()).incidents() == 0;
        }
    }
}
