package org.verbenamast.core.membership;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.store.TableName;

/** The guards of the chart that reads the tables. */
public enum TableReadGuard implements Guard<TableReadData, TableReadInput> {
    /** The table that was read is not the last replicated one. */
    TABLES_LEFT {
        @Override
        public boolean permits(TableReadData data, TableReadInput input, long now) {
            return TableName.values()[data.table().ordinal() + 1].replicated();
        }
    },
    /** Another pass over all tables was requested. */
    ASKED_AGAIN {
        @Override
        public boolean permits(TableReadData data, TableReadInput input, long now) {
            return data.rereadRequested();
        }
    }
}
