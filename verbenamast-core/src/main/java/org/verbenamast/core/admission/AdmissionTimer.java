package org.verbenamast.core.admission;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

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
            return Math.max(0, data.request().deadlineAt() - data.expectedAnswerNanos() - now);
        }
    },
    /** Fires when a request has waited for its key for as long as it may. */
    KEY_TIMEOUT {
        @Override
        public AdmissionEvent fires() {
            return AdmissionEvent.KEY_OVERDUE;
        }

        @Override
        public long delayNanos(AdmissionData data, long now) {
            long allowed = (data.request().deadlineAt() - data.request().arrivedAt()) / KEY_WAIT_DIVISOR;
            return Math.max(0, Math.min(MAX_KEY_WAIT_NANOS, allowed));
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
    };

    /** Longest wait for a key, in nanoseconds; a heartbeat interval, since a grant is the answer to a heartbeat. */
    private static final long MAX_KEY_WAIT_NANOS = Timing.millisToNanos(900);
    /** Divides the time until the deadline: the part for which a request may wait for its key. */
    private static final long KEY_WAIT_DIVISOR = 2;
}
