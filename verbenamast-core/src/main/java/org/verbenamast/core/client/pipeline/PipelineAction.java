package org.verbenamast.core.client.pipeline;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions in the chart of a caller's connection. */
public enum PipelineAction implements Action<PipelineData, PipelineInput> {
    /** Records a request that is begun. */
    BEGIN {
        @Override
        public PipelineData apply(PipelineData data, PipelineInput input, long now, Effects effects) {
            return data.withRequest(input.persistent());
        }
    },
    /** Records that the body of the newest request has arrived. */
    RECORD_BODY_READ {
        @Override
        public PipelineData apply(PipelineData data, PipelineInput input, long now, Effects effects) {
            return data.withBodyRead();
        }
    },
    /** Records that the first unanswered request is answered. */
    RECORD_ANSWER {
        @Override
        public PipelineData apply(PipelineData data, PipelineInput input, long now, Effects effects) {
            return data.withAnswer();
        }
    }
}
