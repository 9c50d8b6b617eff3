package org.verbenamast.core.relay;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.FollowController;
import org.verbenamast.core.watch.FollowResult;
import org.verbenamast.core.watch.FollowedTable;
import org.verbenamast.core.watch.OperatorRow;
import org.verbenamast.core.watch.OperatorTable;

/**
 * Applies the store's answers to the calls that follow its tables. The rows of an answer are applied if and only if the
 * {@link FollowController} has accepted and recorded it.
 */
public final class TableAnswers {

    private final RelayCore core;
    private final FollowController follow;
    private OperatorTable operators = OperatorTable.EMPTY;

    /**
     * Creates an empty table.
     *
     * @param core the decisions that the rows are passed to
     */
    public TableAnswers(RelayCore core) {
        this.core = Objects.requireNonNull(core, "core");
        this.follow = core.follow();
    }

    /**
     * Handles an answer with rows that operators wrote.
     *
     * @param result the end of the call
     * @param rows the rows of the answer
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onOperatorRows(FollowResult result, List<OperatorRow> rows, long now, Effects effects) {
        long held = follow.version(FollowedTable.OPERATORS);
        if (!follow.onCallEnded(result, now, effects) || rows.isEmpty() && !result.isWholeTable()) {
            return;
        }
        operators = operators.withAnswer(result, rows, held);
        operators.manifest().ifPresent(manifest -> core.manifest(manifest, now, effects));
        core.onEvacuatedZones(operators.evacuatedZones(), now, effects);
    }

    /**
     * Handles an answer with shared rows.
     *
     * @param result the end of the call
     * @param rows the rows of the answer
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onSharedRows(FollowResult result, List<StoredRow> rows, long now, Effects effects) {
        if (!follow.onCallEnded(result, now, effects)) {
            return;
        }
        if (result.isWholeTable()) {
            core.onSnapshot(rows, result.input().version(), now, effects);
        } else if (!rows.isEmpty()) {
            core.onRows(rows, now, effects);
        }
    }

    /**
     * Returns the rows of the operators' table that this node holds.
     *
     * @return the table; empty before it has been read
     */
    public OperatorTable operators() {
        return operators;
    }
}
