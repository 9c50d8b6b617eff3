package org.verbenamast.core.gate.crash;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of chart {@code suspect}, a suspected request. */
public enum SuspectAction implements Action<SuspectData, SuspectInput> {
    /** Adds an unresolved incident. */
    ADD_INCIDENT {
        @Override
        public SuspectData apply(SuspectData data, SuspectInput input, long now, Effects effects) {
            return data.withIncident(input.incident());
        }
    },
    /** Records an incident as a crash. */
    COUNT_CRASH {
        @Override
        public SuspectData apply(SuspectData data, SuspectInput input, long now, Effects effects) {
            return data.withCrash(input.incident());
        }
    },
    /** Acquits the request of all incidents so far. */
    ACQUIT {
        @Override
        public SuspectData apply(SuspectData data, SuspectInput input, long now, Effects effects) {
            return data.withAcquittal();
        }
    },
    /** Removes an incident that was not a crash. */
    REMOVE_INCIDENT {
        @Override
        public SuspectData apply(SuspectData data, SuspectInput input, long now, Effects effects) {
            return data.withoutIncident(input.incident());
        }
    }
}
