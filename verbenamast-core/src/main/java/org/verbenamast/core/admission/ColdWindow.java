package org.verbenamast.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;

import org.verbenamast.core.chart.Deadlines;
import org.verbenamast.core.node.Timing;

/** When requests were passed to the server lately, so that a cold one gets no more in any second than it bears. */
final class ColdWindow {

    private static final long SECOND = Timing.millisToNanos(1_000);
    /** Longest history that is kept, in requests; more than any server takes in a second. */
    private static final int MOST = 1_024;

    private final Deque<Long> sent = new ArrayDeque<>();

    void sent(long now) {
        sent.addLast(now);
        drop(now);
    }

    private void drop(long now) {
        while (!sent.isEmpty() && (now - sent.peekFirst() > SECOND || sent.size() > MOST)) {
            sent.removeFirst();
        }
    }

    boolean admits(double perSecond, long now) {
        drop(now);
        return sent.size() < Math.max(1, Math.floor(perSecond));
    }

    /** Returns when the oldest request leaves the window, in nanoseconds. */
    long nextAt() {
        return sent.isEmpty() ? Deadlines.NOT_ARMED : sent.peekFirst() + SECOND + 1;
    }
}
