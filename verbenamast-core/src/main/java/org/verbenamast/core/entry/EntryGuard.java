package org.verbenamast.core.entry;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.node.Timing;

/** The conditions of a request at its entry. */
public enum EntryGuard implements Guard<EntryData, EntryInput> {
    /** A member was found that may serve the request. */
    TARGET_KNOWN {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            return input.target().isPresent();
        }
    },
    /** The key is about to have a server, and the request can wait a little. */
    MAY_WAIT {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            return data.isKeyed()
                    && input.refusal().isTransient()
                    && now - data.request().arrivedAt() < MAX_KEY_WAIT_NANOS
                    && now - data.request().arrivedAt()
                            < (data.request().deadlineAt() - data.request().arrivedAt()) / KEY_WAIT_DIVISOR;
        }
    },
    /** Another node may be asked: nothing has reached a server, or only one that refused. */
    MAY_ASK_OTHER {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            boolean sent = input.refusal().countedSends() > 0;
            boolean allowed = !sent || input.withinBudget() && data.hasSendsLeft();
            boolean other = input.refusal().otherServerMayServe() && !data.isKeyed()
                    || data.isKeyed() && input.refusal().viewOutdated();
            return allowed && other && data.openedAttempts() < MAX_OPENED_ATTEMPTS;
        }
    },
    /** An earlier try may have run, so that nobody may be told that the request has not. */
    MAY_HAVE_RUN {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            return data.mayHaveRun();
        }
    },
    /** The request may run once more. */
    MAY_REPEAT {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            return input.withinBudget() && data.isRepeatable();
        }
    },
    /** The server failed and the request may run once more. */
    FAILED_AND_MAY_REPEAT {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            return input.failed() && MAY_REPEAT.permits(data, input, now);
        }
    };

    /** Longest time that a request waits for its key to have a server, in nanoseconds; a hand-over takes about that. */
    private static final long MAX_KEY_WAIT_NANOS = Timing.nanos(900);
    /** Part of its time that a request waits for its key to have a server, as a divisor. */
    private static final long KEY_WAIT_DIVISOR = 2;
    /** Most nodes that are asked for one request; each costs a round trip. */
    private static final int MAX_OPENED_ATTEMPTS = 30;
}
