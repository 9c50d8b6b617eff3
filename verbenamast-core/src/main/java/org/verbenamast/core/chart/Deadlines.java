package org.verbenamast.core.chart;

import java.util.Arrays;

/** The armed timers of one instance and the times at which they are due. Immutable. */
public final class Deadlines {

    /** The due time, in nanoseconds, of a timer that is not armed: later than any real time. */
    public static final long NOT_ARMED = Long.MAX_VALUE;

    private static final Deadlines NONE = new Deadlines(new long[0]);

    private final long[] due;

    private Deadlines(long[] due) {
        this.due = due;
    }

    /**
     * Returns the deadlines of an instance without armed timers.
     *
     * @return empty deadlines
     */
    public static Deadlines none() {
        return NONE;
    }

    /**
     * Returns the time at which a timer is due.
     *
     * @param timer the timer's ordinal
     * @return the monotonic time in nanoseconds, or {@link #NOT_ARMED}
     */
    public long dueOf(int timer) {
        return timer < due.length ? due[timer] : NOT_ARMED;
    }

    /**
     * Returns the time at which the first armed timer is due.
     *
     * @return the monotonic time in nanoseconds, or {@link #NOT_ARMED}
     */
    public long earliest() {
        long earliest = NOT_ARMED;
        for (long time : due) {
            earliest = Math.min(earliest, time);
        }
        return earliest;
    }

    /**
     * Returns the timer that has been due for the longest time; where several have, the one with the lowest ordinal.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the timer's ordinal, or -1 where no timer is due
     */
    public int firstDue(long now) {
        int first = -1;
        long latest = now;
        for (int i = 0; i < due.length; i++) {
            if (due[i] <= latest && due[i] != NOT_ARMED) {
                first = i;
                latest = due[i] - 1;
            }
        }
        return first;
    }

    Deadlines withTimer(int timer, long dueAt) {
        long[] next = Arrays.copyOf(due, Math.max(due.length, timer + 1));
        Arrays.fill(next, due.length, next.length, NOT_ARMED);
        next[timer] = dueAt;
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
