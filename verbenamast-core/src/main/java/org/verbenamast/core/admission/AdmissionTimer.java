package org.verbenamast.core.admission;

import org.verbenamast.core.chart.TimerRule;

/** The timers of a request at the gate. */
public enum AdmissionTimer implements TimerRule<AdmissionEvent, AdmissionData> {
    /** Waits until too little time is left for the server to answer. */
    QUEUE_TIMEOUT {
        @Override
        public AdmissionEvent fires() {
            return AdmissionEvent.PATIENCE_OVER;
        }

        @Override
        public long delayNanos(AdmissionData data, long now) {
            return Math.max(0, data.request().deadlineAt() - data.expectedServiceNanos() - now);
        }
    },
    /** Waits until the caller gives up. */
    DEADLINE {
        @Override
        public AdmissionEvent fires() {
            return AdmissionEvent.TIME_OVER;
        }

        @Override
        public long delayNanos(AdmissionData data, long now) {
            return Math.max(0, data.request().deadlineAt() - now);
        }
    }
}
