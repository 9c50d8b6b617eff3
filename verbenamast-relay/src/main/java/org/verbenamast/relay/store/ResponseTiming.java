package org.verbenamast.relay.store;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.node.Timing;

/**
 * When the parts of a response arrived. A time of 0 means that nothing has arrived.
 *
 * @param calledAt the monotonic time of the call, before its connection was opened, in nanoseconds
 * @param firstByteAt the monotonic time when the first part arrived, in nanoseconds
 * @param lastByteAt the monotonic time when the latest part arrived, in nanoseconds
 * @param bytes the length of the body that has arrived, in bytes
 */
record ResponseTiming(long calledAt, long firstByteAt, long lastByteAt, int bytes) {

    /** Checks that the length is not negative. */
    ResponseTiming {
        Checks.notNegative("bytes", bytes);
    }

    /** Returns the timing of a call of which nothing has arrived. */
    static ResponseTiming of(long calledAt) {
        return new ResponseTiming(calledAt, 0, 0, 0);
    }

    /** Adds a part of the response: its head, which counts no bytes, or a piece of its body. */
    ResponseTiming withPart(int length, long now) {
        return new ResponseTiming(calledAt, hasBegun() ? firstByteAt : now, now, bytes + length);
    }

    /** Adds the response to a later call that reads the next page of the same table. */
    ResponseTiming withNextPage(ResponseTiming next) {
        return new ResponseTiming(
                calledAt,
                hasBegun() ? firstByteAt : next.firstByteAt,
                next.hasBegun() ? next.lastByteAt : lastByteAt,
                bytes + next.bytes);
    }

    /** Returns whether a part of the response has arrived. */
    boolean hasBegun() {
        return firstByteAt != 0;
    }

    /** Returns the time from the call to the first byte, in milliseconds; 0 if nothing has arrived. */
    long firstByteMillis() {
        return !hasBegun() ? 0 : (firstByteAt - calledAt) / Timing.NANOS_PER_MILLI;
    }

    /** Returns the time from the first byte to the last one, in milliseconds. */
    long receiveMillis() {
        return (lastByteAt - firstByteAt) / Timing.NANOS_PER_MILLI;
    }
}
