package org.verbenamast.core.entry;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.node.Timing;

/** The conditions in the chart of a request at its entry node. */
public enum EntryGuard implements Guard<EntryData, EntryInput> {
    /** A member was selected that may serve the request. */
    TARGET_KNOWN {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            return input.target().isPresent();
        }
    },
    /** The key is expected to have a server soon, and the request has not yet waited for too long. */
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
    /**
     * Another node, or the owner of the key once more, may be asked: the request reached no server, or one that refused
     * it and the budget allows more.
     */
    MAY_ASK_OTHER {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            boolean reachedServer = input.refusal().countedSends() > 0;
            boolean allowed = !reachedServer || input.withinBudget() && data.hasSendsLeft();
            boolean otherNode = input.refusal().otherServerMayServe() && !data.isKeyed()
                    || data.isKeyed()
                            && (input.refusal().viewOutdated()
                                    || input.refusal().sameServerMayServe());
            return data.isReplayable() && allowed && otherNode && data.openedAttempts() < MAX_OPENED_ATTEMPTS;
        }
    },
    /** An earlier attempt may have run, so the caller must not receive a reply that the request has not run. */
    MAY_HAVE_RUN {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            return data.mayHaveRun();
        }
    },
    /** The request may run again, and the budget has paid for it. */
    MAY_REPEAT {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            return input.withinBudget() && data.isRepeatable();
        }
    },
    /** The first attempt is late, and the request may be sent to a second server beside it. */
    MAY_HEDGE {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            return data.isHedgeable(now);
        }
    },
    /** The server's answer is a failure. */
    FAILED {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            return input.failed();
        }
    },
    /** The server's answer is a failure, and the request may run again. */
    FAILED_AND_MAY_REPEAT {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            return input.failed() && MAY_REPEAT.permits(data, input, now);
        }
    };

    /** Longest time that a request waits until its key has a server, in nanoseconds; about the time of a hand-over. */
    private static final long MAX_KEY_WAIT_NANOS = Timing.millisToNanos(900);
    /** Divides the time from arrival to deadline: the part that a request may wait until its key has a server. */
    private static final long KEY_WAIT_DIVISOR = 2;
    /** Largest number of attempts for one request, at any nodes; each costs a round trip. */
    private static final int MAX_OPENED_ATTEMPTS = 30;
}
