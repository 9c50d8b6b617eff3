package org.verbenamast.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;

import org.verbenamast.core.chart.Deadlines;
import org.verbenamast.core.node.Timing;

/** Sliding window of one second that limits how many requests per second are dispatched to a cold server. */
final class ColdWindow {

    private static final long WINDOW_NANOS = Timing.millisToNanos(1_000);
    /** Largest number of dispatches that are kept; more than any server accepts in a second. */
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

    boolean allows(double perSecond, long now) {
        removeExpired(now);
        return dispatchTimes.size() < Math.max(1, Math.floor(perSecond));
    }

    /** Returns when the oldest dispatch leaves the window, in nanoseconds of the monotonic clock. */
    long nextExpiry() {
        return dispatchTimes.isEmpty() ? Deadlines.NOT_ARMED : dispatchTimes.peekFirst() + WINDOW_NANOS + 1;
    }
}
