package org.verbenamast.core.watch;

import org.verbenamast.core.check.Checks;

/**
 * How much of a followed table this node holds. It is the only record of it: an answer's rows count if and only if the
 * answer changes this record.
 *
 * @param version the store's version up to which this node holds all changes; 0 before the first read
 * @param latest the version of the newest row held of the kind that nodes send each other
 * @param bytes the length of the last read of all rows, in bytes
 * @param asOf the monotonic time as of which the copy was certainly complete, in nanoseconds; 0 before the first read
 */
public record TableCopy(long version, long latest, long bytes, long asOf) {

    /** The copy of a node that has read nothing. */
    static final TableCopy EMPTY = new TableCopy(0, 0, 0, 0);

    /** Length of changes that are received however short the whole table is, in bytes. */
    private static final long MIN_CHANGE_BYTES = 64 * 1024;

    /** Checks that no version and no length is negative. */
    public TableCopy {
        Checks.notNegative("version", version);
        Checks.notNegative("latest", latest);
        Checks.notNegative("bytes", bytes);
    }

    /**
     * Returns whether an answer contains all changes up to a version that is no older than the one held. The store can
     * answer with an older one from a replica that is behind.
     */
    boolean accepts(FollowInput answer) {
        return answer.version() >= version;
    }

    /**
     * Returns the length from which on changes are not received, in bytes. The store keeps every version of a row, so
     * that the changes since a version may be many times as long as the table, which is read instead.
     */
    long maxChangeBytes() {
        return Math.max(MIN_CHANGE_BYTES, bytes + bytes / 2);
    }

    TableCopy withAnswer(FollowInput answer, FollowCall call, long now) {
        return new TableCopy(
                answer.version(),
                Math.max(latest, answer.latest()),
                call.waitsForChanges() ? bytes : answer.bytes(),
                Math.max(asOf, call.trueAt(answer.empty(), now)));
    }

    TableCopy withReceivedRow(long rowVersion) {
        return new TableCopy(version, Math.max(latest, rowVersion), bytes, asOf);
    }

    /** Returns whether this node holds a row of this version or a newer one. */
    boolean holds(long rowVersion) {
        return rowVersion <= Math.max(version, latest);
    }

    boolean isRead() {
        return asOf > 0;
    }
}
