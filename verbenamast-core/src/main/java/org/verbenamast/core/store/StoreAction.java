package org.verbenamast.core.store;

import java.util.List;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;

/** The steps in the chart of a call to the table service. */
public enum StoreAction implements Action<StoreCall, StoreReply> {
    /** Sends the request. */
    SEND {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            effects.emit(new Effect.CallStore(call.attemptId(), call.request()));
            return call;
        }
    },
    /** Reads a row that the transaction writes. */
    READ_BACK {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            effects.emit(new Effect.CallStore(call.attemptId(), call.readBackRequest()));
            return call;
        }
    },
    /** Counts a further attempt, whose answer can be told from those to earlier ones. */
    COUNT_ATTEMPT {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            return call.nextAttempt();
        }
    },
    /** Takes a further attempt out of the budget. */
    SPEND_RETRY {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            call.retryPolicy().countRetry();
            return call;
        }
    },
    /** Notes how the attempt failed, and whether the transaction may have taken effect. */
    RECORD_FAILURE {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            return call.withFailure(((StoreReply.Failed) reply).failure());
        }
    },
    /** Hands the answer to whoever asked. */
    COMPLETE {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            call.continuation().onReply(reply, now, effects);
            return call;
        }
    },
    /** Tells whoever asked that the transaction took effect. */
    COMPLETE_COMMITTED {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            StoreRequest.Commit commit = (StoreRequest.Commit) call.request();
            List<Row> rows = commit.writes().stream()
                    .map(write -> new Row(write.key(), write.expectedVersion() + 1, write.value()))
                    .toList();
            call.continuation().onReply(new StoreReply.Committed(rows), now, effects);
            return call;
        }
    },
    /** Tells whoever asked that the rows of the transaction have moved on. */
    COMPLETE_CONFLICTED {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            call.continuation().onReply(new StoreReply.Conflicted(((StoreReply.RowsRead) reply).rows()), now, effects);
            return call;
        }
    },
    /** Tells whoever asked that no usable answer came, and whether the transaction may have taken effect. */
    COMPLETE_FAILED {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            call.continuation().onReply(new StoreReply.Failed(call.reportedFailure()), now, effects);
            return call;
        }
    }
}
