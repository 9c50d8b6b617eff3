package org.verbenamast.core.admission;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps of a request at the gate. */
public enum AdmissionAction implements Action<AdmissionData, AdmissionInput> {
    /** Passes the request to the server. */
    DISPATCH {
        @Override
        public AdmissionData apply(AdmissionData data, AdmissionInput input, long now, Effects effects) {
            effects.emit(new AdmissionEffect.Dispatch(data.request().id()));
            return data.withStart(now);
        }
    },
    /** Tells the sender that the request has not run. */
    REFUSE {
        @Override
        public AdmissionData apply(AdmissionData data, AdmissionInput input, long now, Effects effects) {
            effects.emit(new AdmissionEffect.Refuse(data.request().id(), input.reason(), input.retryAfterMillis()));
            return data;
        }
    },
    /** Tells the sender that the request has not run and that too little time is left. */
    REFUSE_TOO_LATE {
        @Override
        public AdmissionData apply(AdmissionData data, AdmissionInput input, long now, Effects effects) {
            effects.emit(new AdmissionEffect.Refuse(data.request().id(), Refusal.TOO_LATE, 0));
            return data;
        }
    },
    /** Stops the request at the server; nobody waits for it. */
    CANCEL {
        @Override
        public AdmissionData apply(AdmissionData data, AdmissionInput input, long now, Effects effects) {
            effects.emit(new AdmissionEffect.Cancel(data.request().id()));
            return data;
        }
    },
    /** Stops the request at the server and tells the sender that its time is over. */
    CANCEL_OVERDUE {
        @Override
        public AdmissionData apply(AdmissionData data, AdmissionInput input, long now, Effects effects) {
            effects.emit(new AdmissionEffect.CancelOverdue(data.request().id()));
            return data;
        }
    }
}
