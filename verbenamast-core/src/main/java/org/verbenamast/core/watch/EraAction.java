package org.verbenamast.core.watch;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of the chart of the store's era. */
public enum EraAction implements Action<EraData, EraInput> {
    /** Records the era. No table has been read in it. */
    BEGIN_ERA {
        @Override
        public EraData apply(EraData data, EraInput input, long now, Effects effects) {
            return data.withEra(input.era(), now);
        }
    },
    /** Records that a table has been read. */
    RECORD_TABLE {
        @Override
        public EraData apply(EraData data, EraInput input, long now, Effects effects) {
            return data.withTable(input.table().orElseThrow());
        }
    },
    /** Records since when the era is confirmed. */
    RECORD_CONFIRMATION {
        @Override
        public EraData apply(EraData data, EraInput input, long now, Effects effects) {
            return data.withConfirmation(now);
        }
    }
}
