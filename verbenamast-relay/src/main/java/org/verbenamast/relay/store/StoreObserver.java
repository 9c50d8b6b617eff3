package org.verbenamast.relay.store;

import java.util.List;

import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.StorePurpose;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.FollowResult;
import org.verbenamast.core.watch.FollowedTable;
import org.verbenamast.core.watch.OperatorRow;

/** Receives the results of calls to the store. */
public interface StoreObserver {

    /**
     * Returns the newest version of a shared row that this node knows.
     *
     * @param ref identifies the row
     * @return the row; one of version 0 without content if none is known
     */
    StoredRow knownRow(RowRef ref);

    /**
     * Handles a higher era than any that the store has told before: it has come back from an older copy.
     *
     * @param era the era
     */
    void onStoreEra(long era);

    /**
     * Handles the result of a call that a decision asked for.
     *
     * @param purpose the purpose of the call
     * @param callId the number of the call
     * @param result the result
     */
    void onStoreResult(StorePurpose purpose, long callId, StoreResult result);

    /**
     * Handles the first bytes of an answer to a call that waits for changes, of which more are to come.
     *
     * @param table the table
     * @param callId the number of the call
     */
    void onAnswerArriving(FollowedTable table, long callId);

    /**
     * Handles a call that follows a table and ended without rows to read.
     *
     * @param result the end of the call
     */
    void onFollowFailed(FollowResult result);

    /**
     * Handles an answer with rows that operators wrote.
     *
     * @param result the end of the call
     * @param rows the rows of the answer
     */
    void onOperatorRows(FollowResult result, List<OperatorRow> rows);

    /**
     * Handles an answer with shared rows, which every node follows.
     *
     * @param result the end of the call
     * @param rows the rows of the answer
     */
    void onSharedRows(FollowResult result, List<StoredRow> rows);
}
