package org.verbenamast.core.backend;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of chart {@code notice-request}, a notice of the backend server. */
public enum NoticeAction implements Action<NoticeData, NoticeInput> {
    /** Confirms the notice. */
    CONFIRM {
        @Override
        public NoticeData apply(NoticeData data, NoticeInput input, long now, Effects effects) {
            effects.emit(new NoticeEffect.Confirm(data.callId(), input.grant()));
            return data;
        }
    },
    /** Answers that the notice is not confirmed. */
    REJECT {
        @Override
        public NoticeData apply(NoticeData data, NoticeInput input, long now, Effects effects) {
            effects.emit(
                    new NoticeEffect.Reject(data.callId(), input.rejection().orElseThrow()));
            return data;
        }
    }
}
