package org.verbenamast.core.chart;

import java.util.Arrays;

/** The armed timers of one instance: when each timer of its chart is due. Immutable. */
public final class Deadlines {

    /** The value that stands for a timer that is not armed, in nanoseconds. */
    public static final long NOT_ARMED = Long.MAX_VALUE;

    private static final Deadlines NONE = new Deadlines(new long[0]);

    private final long[] due;

    private Deadlines(long[] due) {
        this.due = due;
    }

    /**
     * Returns the deadlines of an instance without armed timers.
     *
     * @return no deadlines
     */
    public static Deadlines none() {
        return NONE;
    }

    /**
     * Returns when a timer is due.
     *
     * @param timer the timer's ordinal
     * @return the monotonic time in nanoseconds, or {@link #NOT_ARMED}
     */
    public long dueOf(int timer) {
        return timer < due.length ? due[timer] : NOT_ARMED;
    }

    /**
     * Returns when the first armed timer is due.
     *
     * @return the monotonic time in nanoseconds, or {@link #NOT_ARMED}
     */
    public long earliest() {
        long earliest = NOT_ARMED;
        for (long at : due) {
            earliest = Math.min(earliest, at);
        }
        return earliest;
    }

    /**
     * Returns the ordinal of a timer that is due.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the ordinal of the timer due first, or -1 where none is due
     */
    public int firstDue(long now) {
        int first = -1;
        long at = now;
        for (int i = 0; i < due.length; i++) {
            if (due[i] <= at && due[i] != NOT_ARMED) {
                first = i;
                at = due[i] - 1;
            }
        }
        return first;
    }

    Deadlines withTimer(int timer, long at) {
        long[] next = Arrays.copyOf(due, Math.max(due.length, timer + 1));
        Arrays.fill(next, due.length, next.length, NOT_ARMED);
        next[timer] = at;
        return new Deadlines(next);
    }

    Deadlines withoutTimer(int timer) {
        return dueOf(timer) == NOT_ARMED ? this : withTimer(timer, NOT_ARMED);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Deadlines that && Arrays.equals(due, that.due);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(due);
    }

    @Override
    public String toString() {
        return "Deadlines" + Arrays.toString(due);
    }
}
