package org.verbenamast.core.admission;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of a request at the admission controller. */
public enum AdmissionGuard implements Guard<AdmissionData, AdmissionInput> {
    /** The server has room for the request now. */
    HAS_ROOM {
        @Override
        public boolean permits(AdmissionData data, AdmissionInput input, long now) {
            return input.verdict() == AdmissionInput.Verdict.DISPATCH;
        }
    },
    /** The server is about to be granted the request's key. */
    KEY_EXPECTED {
        @Override
        public boolean permits(AdmissionData data, AdmissionInput input, long now) {
            return input.verdict() == AdmissionInput.Verdict.AWAIT_KEY;
        }
    },
    /** The request may be queued. */
    MAY_WAIT {
        @Override
        public boolean permits(AdmissionData data, AdmissionInput input, long now) {
            return input.verdict() == AdmissionInput.Verdict.QUEUE;
        }
    },
    /** The answer is large, so that its transfer takes a share of the node's link. */
    HAS_LARGE_ANSWER {
        @Override
        public boolean permits(AdmissionData data, AdmissionInput input, long now) {
            return data.request().hasLargeAnswer();
        }
    }
}
