package org.verbenamast.core.membership;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.store.TableName;

/** The steps in the chart of this node's reading of the tables. */
public enum TableReadAction implements Action<TableReadData, TableReadInput> {
    /** Asks the table service for the rows of the table. */
    READ_TABLE {
        @Override
        public TableReadData apply(TableReadData data, TableReadInput input, long now, Effects effects) {
            data.controller().readTable(data.table(), now, effects);
            return data;
        }
    },
    /** Goes on to the next table. */
    NEXT_TABLE {
        @Override
        public TableReadData apply(TableReadData data, TableReadInput input, long now, Effects effects) {
            return data.withTable(TableName.values()[data.table().ordinal() + 1]);
        }
    },
    /** Goes back to the first table, for the next time. */
    FIRST_TABLE {
        @Override
        public TableReadData apply(TableReadData data, TableReadInput input, long now, Effects effects) {
            return new TableReadData(data.controller(), TableName.values()[0], false, 0);
        }
    },
    /** Notes that all tables are to be read once more. */
    REQUEST_REREAD {
        @Override
        public TableReadData apply(TableReadData data, TableReadInput input, long now, Effects effects) {
            return data.withRereadRequested();
        }
    },
    /** Counts a failure, so that the pauses grow. */
    COUNT_FAILURE {
        @Override
        public TableReadData apply(TableReadData data, TableReadInput input, long now, Effects effects) {
            return data.withFailures(data.failures() + 1);
        }
    },
    /** Asks the seeds for rows where no other node is known. */
    ASK_SEEDS {
        @Override
        public TableReadData apply(TableReadData data, TableReadInput input, long now, Effects effects) {
            data.controller().askSeeds(effects);
            return data;
        }
    }
}
