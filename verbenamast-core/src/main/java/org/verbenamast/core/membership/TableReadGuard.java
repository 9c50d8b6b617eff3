package org.verbenamast.core.membership;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.store.TableName;

/** The conditions in the chart of this node's reading of the tables. */
public enum TableReadGuard implements Guard<TableReadData, TableReadInput> {
    /** The table that was read is not the last one. */
    TABLES_LEFT {
        @Override
        public boolean permits(TableReadData data, TableReadInput input, long now) {
            return TableName.values()[data.table().ordinal() + 1].replicated();
        }
    },
    /** All tables are to be read once more. */
    ASKED_AGAIN {
        @Override
        public boolean permits(TableReadData data, TableReadInput input, long now) {
            return data.rereadRequested();
        }
    }
}
