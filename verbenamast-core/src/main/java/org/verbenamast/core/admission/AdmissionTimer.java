package org.verbenamast.core.admission;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of a request at the admission controller. */
public enum AdmissionTimer implements TimerRule<AdmissionEvent, AdmissionData> {
    /** Fires when the time that is left is no longer than the expected service time. */
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
    /** Fires at the deadline, when the caller gives up. */
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
