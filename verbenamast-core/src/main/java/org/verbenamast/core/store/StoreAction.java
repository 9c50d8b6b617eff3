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
            effects.emit(new Effect.CallStore(call.number(), call.request()));
            return call;
        }
    },
    /** Reads a row that the transaction writes. */
    READ_BACK {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            effects.emit(new Effect.CallStore(call.number(), call.readBack()));
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
            call.retries().countRetry();
            return call;
        }
    },
    /** Notes how the attempt failed, and whether the transaction may have taken effect. */
    NOTE_FAILURE {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            return call.failed(((StoreReply.Failed) reply).failure());
        }
    },
    /** Hands the answer to whoever asked. */
    COMPLETE {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            call.continuation().done(reply, now, effects);
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
            call.continuation().done(new StoreReply.Committed(rows), now, effects);
            return call;
        }
    },
    /** Tells whoever asked that the rows of the transaction have moved on. */
    COMPLETE_CONFLICTED {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            call.continuation().done(new StoreReply.Conflicted(((StoreReply.RowsRead) reply).rows()), now, effects);
            return call;
        }
    },
    /** Tells whoever asked that no usable answer came, and whether the transaction may have taken effect. */
    COMPLETE_FAILED {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            call.continuation().done(new StoreReply.Failed(call.outcome()), now, effects);
            return call;
        }
    }
}
