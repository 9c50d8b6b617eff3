package org.verbenamast.core.table;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of a mark. */
public enum MarkGuard implements Guard<MarkData, MarkInput> {
    /** The mark only takes work away. */
    REMOVES_WORK {
        @Override
        public boolean permits(MarkData data, MarkInput input, long now) {
            return input.mark().state().removesWork();
        }
    },
    /** The table service has a newer mark. */
    OVERTAKEN {
        @Override
        public boolean permits(MarkData data, MarkInput input, long now) {
            MarkRow durable = data.desk().durable(data.mark().subject());
            return durable != null && durable.newerThan(data.mark());
        }
    },
    /** The table service has this mark: a reply was lost before. */
    KEPT {
        @Override
        public boolean permits(MarkData data, MarkInput input, long now) {
            return data.mark().equals(data.desk().durable(data.mark().subject()));
        }
    },
    /** A write may have taken effect all the same. */
    EFFECT_UNKNOWN {
        @Override
        public boolean permits(MarkData data, MarkInput input, long now) {
            return input.effectUnknown();
        }
    }
}
