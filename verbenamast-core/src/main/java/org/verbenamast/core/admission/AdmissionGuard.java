package org.verbenamast.core.admission;

import org.verbenamast.core.chart.Guard;

/** The conditions of a request at the gate. */
public enum AdmissionGuard implements Guard<AdmissionData, AdmissionInput> {
    /** The server has room now. */
    HAS_ROOM {
        @Override
        public boolean permits(AdmissionData data, AdmissionInput input, long now) {
            return input.verdict() == AdmissionInput.Verdict.DISPATCH;
        }
    },
    /** The request may wait. */
    MAY_WAIT {
        @Override
        public boolean permits(AdmissionData data, AdmissionInput input, long now) {
            return input.verdict() == AdmissionInput.Verdict.QUEUE;
        }
    }
}
