package org.verbenamast.core.membership;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.store.TableName;

/** The actions of the chart that reads the tables. */
public enum TableReadAction implements Action<TableReadData, TableReadInput> {
    /** Requests the rows of the current table from the table service. */
    READ_TABLE {
        @Override
        public TableReadData apply(TableReadData data, TableReadInput input, long now, Effects effects) {
            data.controller().readTable(data.table(), now, effects);
            return data;
        }
    },
    /** Selects the next table. */
    NEXT_TABLE {
        @Override
        public TableReadData apply(TableReadData data, TableReadInput input, long now, Effects effects) {
            return data.withTable(TableName.values()[data.table().ordinal() + 1]);
        }
    },
    /** Selects the first table for the next pass and clears the failure count and the request to read again. */
    FIRST_TABLE {
        @Override
        public TableReadData apply(TableReadData data, TableReadInput input, long now, Effects effects) {
            return new TableReadData(data.controller(), TableName.values()[0], false, 0);
        }
    },
    /** Requests another pass over all tables after the current one. */
    REQUEST_REREAD {
        @Override
        public TableReadData apply(TableReadData data, TableReadInput input, long now, Effects effects) {
            return data.withRereadRequested();
        }
    },
    /** Counts a failure, which lengthens the delay before the next attempt. */
    COUNT_FAILURE {
        @Override
        public TableReadData apply(TableReadData data, TableReadInput input, long now, Effects effects) {
            return data.withFailures(data.failures() + 1);
        }
    },
    /** Sends a digest to the seeds, if no other node is known, to get rows from them. */
    ASK_SEEDS {
        @Override
        public TableReadData apply(TableReadData data, TableReadInput input, long now, Effects effects) {
            data.controller().askSeeds(effects);
            return data;
        }
    }
}
