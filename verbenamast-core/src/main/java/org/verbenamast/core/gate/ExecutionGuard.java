package org.verbenamast.core.gate;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.gate.crash.SuspectStatus;
import org.verbenamast.core.gate.runs.RunStatus;

/** The guards of chart {@code serve}, the execution of a request. */
public enum ExecutionGuard implements Guard<ExecutionData, ExecutionInput> {
    /** This node may not run the request: it is not ready, not joined, or does not own the slice. */
    NOT_MINE {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return !input.backend().mayExecute(data, now);
        }
    },
    /** The run records of the slice's earlier owner have not arrived yet. */
    RECORDS_AWAITED {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.backend().runStatus(data) == RunStatus.AWAITED;
        }
    },
    /** A send of the request has run, and its outcome is on record. */
    RUN_ENDED {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.backend().runStatus(data) == RunStatus.ENDED;
        }
    },
    /** The backend server is running another send of the request. */
    RUN_UNDER_WAY {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.backend().runStatus(data) == RunStatus.UNDER_WAY;
        }
    },
    /** A send of the request may have run, and no record shows whether it did. */
    RUN_UNCERTAIN {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.backend().runStatus(data) == RunStatus.UNCERTAIN;
        }
    },
    /** The table of run records is full. */
    RECORDS_FULL {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.backend().runStatus(data) == RunStatus.FULL;
        }
    },
    /**
     * Two backend servers crashed while they ran a request with the same content, or may have without a resolution in
     * time.
     */
    SUSPECT_STOPPED {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.backend().suspectStatus(data) == SuspectStatus.STOPPED;
        }
    },
    /** A backend server may have crashed while it ran a request with the same content. */
    SUSPECT_HELD {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.backend().suspectStatus(data) == SuspectStatus.HELD;
        }
    },
    /** The backend server accepts no new requests. */
    SERVER_CLOSED {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return !input.backend().isOpen();
        }
    },
    /** The backend server has a free slot. */
    SLOT_FREE {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.backend().hasSlot();
        }
    },
    /** The expected wait in the queue would outlast the deadline. */
    HOPELESS {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return now + input.backend().expectedWaitNanos() > data.deadline();
        }
    },
    /** The queue has room for one more request. */
    QUEUE_OPEN {
        @Override
        public boolean permits(ExecutionData data, ExecutionInput input, long now) {
            return input.backend().hasQueueRoom();
        }
    }
}
