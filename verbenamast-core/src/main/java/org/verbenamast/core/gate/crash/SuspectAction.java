package org.verbenamast.core.gate.crash;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps in the chart of a suspected request. */
public enum SuspectAction implements Action<SuspectData, SuspectInput> {
    /** Adds an incident that may be a crash. */
    ADD_INCIDENT {
        @Override
        public SuspectData apply(SuspectData data, SuspectInput input, long now, Effects effects) {
            return data.accused(input.incident());
        }
    },
    /** Counts an incident as a crash. */
    COUNT_CRASH {
        @Override
        public SuspectData apply(SuspectData data, SuspectInput input, long now, Effects effects) {
            return data.confirmed(input.incident());
        }
    },
    /** Holds none of the incidents so far against the request any more. */
    ACQUIT {
        @Override
        public SuspectData apply(SuspectData data, SuspectInput input, long now, Effects effects) {
            return data.ranWell();
        }
    },
    /** Takes an incident off that was no crash. */
    REMOVE_INCIDENT {
        @Override
        public SuspectData apply(SuspectData data, SuspectInput input, long now, Effects effects) {
            return data.dismissed(input.incident());
        }
    }
}
