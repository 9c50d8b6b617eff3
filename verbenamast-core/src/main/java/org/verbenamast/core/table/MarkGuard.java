package org.verbenamast.core.table;

import org.verbenamast.core.chart.Guard;

/** The guards of the chart {@code mark}. */
public enum MarkGuard implements Guard<MarkData, MarkInput> {
    /** The mark takes its subject out of service. */
    REMOVES_WORK {
        @Override
        public boolean permits(MarkData data, MarkInput input, long now) {
            return input.mark().state().removesWork();
        }
    },
    /** The table service stores a newer mark. */
    OVERTAKEN {
        @Override
        public boolean permits(MarkData data, MarkInput input, long now) {
            MarkRow durable = data.controller().durable(data.mark().subject());
            return durable != null && durable.newerThan(data.mark());
        }
    },
    /** The table service stores this mark; the reply to an earlier write was lost. */
    KEPT {
        @Override
        public boolean permits(MarkData data, MarkInput input, long now) {
            return data.mark().equals(data.controller().durable(data.mark().subject()));
        }
    },
    /** The failed write may have taken effect. */
    EFFECT_UNKNOWN {
        @Override
        public boolean permits(MarkData data, MarkInput input, long now) {
            return input.effectUnknown();
        }
    }
}
