package org.verbenamast.core.admission;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions in the chart of a request at the admission controller. */
public enum AdmissionAction implements Action<AdmissionData, AdmissionInput> {
    /** Sends the request to the server. */
    DISPATCH {
        @Override
        public AdmissionData apply(AdmissionData data, AdmissionInput input, long now, Effects effects) {
            effects.emit(new AdmissionEffect.Dispatch(data.request().id()));
            return data.withStart(now);
        }
    },
    /** Records when the server answered. */
    RECORD_ANSWER {
        @Override
        public AdmissionData apply(AdmissionData data, AdmissionInput input, long now, Effects effects) {
            return data.withAnswer(now);
        }
    },
    /** Reports to the sender that the request has not run, and why. */
    REFUSE {
        @Override
        public AdmissionData apply(AdmissionData data, AdmissionInput input, long now, Effects effects) {
            effects.emit(new AdmissionEffect.Refuse(data.request().id(), input.reason(), input.retryAfterMillis()));
            return data;
        }
    },
    /** Reports to the sender that the request has not run because the server was not granted its key in time. */
    REFUSE_KEY_ABSENT {
        @Override
        public AdmissionData apply(AdmissionData data, AdmissionInput input, long now, Effects effects) {
            effects.emit(new AdmissionEffect.Refuse(data.request().id(), Refusal.NOT_OWNER, 0));
            return data;
        }
    },
    /** Reports to the sender that the request has not run because too little time is left until its deadline. */
    REFUSE_TOO_LATE {
        @Override
        public AdmissionData apply(AdmissionData data, AdmissionInput input, long now, Effects effects) {
            effects.emit(new AdmissionEffect.Refuse(data.request().id(), Refusal.TOO_LATE, 0));
            return data;
        }
    },
    /** Cancels the request at the server; the sender no longer waits for it. */
    CANCEL {
        @Override
        public AdmissionData apply(AdmissionData data, AdmissionInput input, long now, Effects effects) {
            effects.emit(new AdmissionEffect.Cancel(data.request().id()));
            return data;
        }
    },
    /** Cancels the request at the server and reports to the sender that its deadline has passed. */
    CANCEL_OVERDUE {
        @Override
        public AdmissionData apply(AdmissionData data, AdmissionInput input, long now, Effects effects) {
            effects.emit(new AdmissionEffect.CancelOverdue(data.request().id()));
            return data;
        }
    }
}
