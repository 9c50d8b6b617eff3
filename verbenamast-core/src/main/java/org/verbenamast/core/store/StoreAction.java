package org.verbenamast.core.store;

import java.util.List;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;

/** The actions of the chart of a call to the table service. */
public enum StoreAction implements Action<StoreCall, StoreReply> {
    /** Sends the request as the current attempt. */
    SEND {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            effects.emit(new Effect.CallStore(call.attemptId(), call.request()));
            return call;
        }
    },
    /** Reads back a row that the transaction writes. */
    READ_BACK {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            effects.emit(new Effect.CallStore(call.attemptId(), call.readBackRequest()));
            return call;
        }
    },
    /** Counts another attempt. Its id distinguishes its reply from those to earlier attempts. */
    COUNT_ATTEMPT {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            return call.nextAttempt();
        }
    },
    /** Charges another attempt to the retry budget. */
    SPEND_RETRY {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            call.retryPolicy().countRetry();
            return call;
        }
    },
    /** Records how the attempt failed, and whether the transaction may have taken effect. */
    RECORD_FAILURE {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            return call.withFailure(((StoreReply.Failed) reply).failure());
        }
    },
    /** Passes the reply to the caller. */
    COMPLETE {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            call.continuation().onReply(reply, now, effects);
            return call;
        }
    },
    /** Reports to the caller that the transaction took effect. */
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
    /** Reports to the caller that other writes have changed rows of the transaction. */
    COMPLETE_CONFLICTED {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            call.continuation().onReply(new StoreReply.Conflicted(((StoreReply.RowsRead) reply).rows()), now, effects);
            return call;
        }
    },
    /** Reports to the caller that no usable reply came, and whether the transaction may have taken effect. */
    COMPLETE_FAILED {
        @Override
        public StoreCall apply(StoreCall call, StoreReply reply, long now, Effects effects) {
            call.continuation().onReply(new StoreReply.Failed(call.reportedFailure()), now, effects);
            return call;
        }
    }
}
