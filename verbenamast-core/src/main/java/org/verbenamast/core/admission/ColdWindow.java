package org.verbenamast.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;

import org.verbenamast.core.chart.Deadlines;
import org.verbenamast.core.node.Timing;

/** When requests were passed to the server lately, so that a cold one gets no more in any second than it bears. */
final class ColdWindow {

    private static final long WINDOW_NANOS = Timing.nanos(1_000);
    /** Longest history that is kept, in requests; more than any server takes in a second. */
    private static final int MAX_DISPATCHES = 1_024;

    private final Deque<Long> dispatchTimes = new ArrayDeque<>();

    void recordDispatch(long now) {
        dispatchTimes.addLast(now);
        removeExpired(now);
    }

    private void removeExpired(long now) {
        while (!dispatchTimes.isEmpty()
                && (now - dispatchTimes.peekFirst() > WINDOW_NANOS || dispatchTimes.size() > MAX_DISPATCHES)) {
            dispatchTimes.removeFirst();
        }
    }

    boolean permits(double perSecond, long now) {
        removeExpired(now);
        return dispatchTimes.size() < Math.max(1, Math.floor(perSecond));
    }

    /** Returns when the oldest request leaves the window, in nanoseconds. */
    long nextExpiry() {
        return dispatchTimes.isEmpty() ? Deadlines.NOT_ARMED : dispatchTimes.peekFirst() + WINDOW_NANOS + 1;
    }
}
