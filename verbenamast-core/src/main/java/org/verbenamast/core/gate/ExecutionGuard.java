package org.verbenamast.core.gate;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.gate.crash.SuspectStatus;
import org.verbenamast.core.gate.runs.RunStatus;

/** The conditions in the chart of a request at the member whose backend server is to run it. */
public enum ExecutionGuard implements Guard<ExecutionData, ExecutionInput> {
    /** This node may not have the request run. */
    NOT_MINE {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return !input.gate().mayServe(data, now);
        }
    },
    /** The records of the key's earlier owner are on their way. */
    RECORDS_AWAITED {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.gate().standing(data) == RunStatus.AWAITED;
        }
    },
    /** A send of the request ran, and how it ended is known. */
    RUN_ENDED {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.gate().standing(data) == RunStatus.ENDED;
        }
    },
    /** The backend server has another send of the request. */
    RUN_UNDER_WAY {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.gate().standing(data) == RunStatus.UNDER_WAY;
        }
    },
    /** A send of the request may have run, and nothing tells. */
    RUN_UNCERTAIN {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.gate().standing(data) == RunStatus.UNCERTAIN;
        }
    },
    /** One more run can't be recorded. */
    RECORDS_FULL {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.gate().standing(data) == RunStatus.FULL;
        }
    },
    /** Backend servers crashed while they ran such a request. */
    SUSPECT_STOPPED {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.gate().suspicion(data) == SuspectStatus.STOPPED;
        }
    },
    /** A backend server may have crashed while it ran such a request. */
    SUSPECT_HELD {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.gate().suspicion(data) == SuspectStatus.HELD;
        }
    },
    /** The backend server takes no new work. */
    SERVER_CLOSED {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return !input.gate().isOpen();
        }
    },
    /** The backend server may be given one more request. */
    SLOT_FREE {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.gate().hasSlot();
        }
    },
    /** The wait would outlast the deadline. */
    HOPELESS {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return now + input.gate().expectedWaitNanos() > data.deadline();
        }
    },
    /** One more request may wait. */
    QUEUE_OPEN {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.gate().hasQueueRoom();
        }
    }
}
