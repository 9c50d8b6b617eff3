package org.verbenamast.core.gate.crash;

import java.util.PriorityQueue;
import java.util.function.Consumer;

import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.node.Timing;

/**
 * Schedules crash notices for a few resends, because a link may lose them. Receivers handle duplicates without effect.
 */
final class NoticeRepeats {

    private static final long[] DELAYS_MILLIS = {100, 300, 900, 2_700};
    private static final int MAX_PENDING = 1_024;

    private final PriorityQueue<Repeat> pending = new PriorityQueue<>();

    /** Schedules the resends of a notice. Resends beyond the limit of pending ones are dropped. */
    void schedule(PeerMessage.CrashNotice notice, long now) {
        for (long delay : DELAYS_MILLIS) {
            if (pending.size() < MAX_PENDING) {
                pending.add(new Repeat(now + Timing.millisToNanos(delay), notice));
            }
        }
    }

    /** Passes the notices that are due to the sender. */
    void advance(long now, Consumer<PeerMessage.CrashNotice> sender) {
        while (!pending.isEmpty() && pending.peek().due() <= now) {
            sender.accept(pending.poll().notice());
        }
    }

    /** Returns when the next notice is due, as a monotonic time in nanoseconds. */
    long nextDue() {
        return pending.isEmpty() ? Long.MAX_VALUE : pending.peek().due();
    }

    private record Repeat(long due, PeerMessage.CrashNotice notice) implements Comparable<Repeat> {
        @Override
        public int compareTo(Repeat other) {
            return Long.compare(due, other.due);
        }
    }
}
