package org.verbenamast.core.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.store.Row;

/**
 * The tombstones of ended members. Their rows are kept for a day, so that a delayed message with an earlier row can't
 * make a member appear alive again.
 */
final class Tombstones {

    private static final long RETENTION_NANOS = Duration.ofDays(1).toNanos();

    private final Directory directory;
    private final Deque<Tombstone> byAge = new ArrayDeque<>();

    Tombstones(Directory directory) {
        this.directory = directory;
    }

    void onRow(Row row, long now) {
        if (row.value() instanceof MemberRow member && member.status().hasEnded()) {
            byAge.addLast(new Tombstone(member.id(), now + RETENTION_NANOS));
        }
    }

    /** Removes the members whose tombstones have expired. A member that a grant still names is kept for another day. */
    void advance(long now) {
        while (!byAge.isEmpty() && byAge.peekFirst().expiresAt() <= now) {
            MemberId member = byAge.pollFirst().member();
            if (!directory.removeEnded(member) && directory.hasEnded(member)) {
                byAge.addLast(new Tombstone(member, now + RETENTION_NANOS));
            }
        }
    }

    /**
     * The tombstone of an ended member.
     *
     * @param member the member
     * @param expiresAt the monotonic time in nanoseconds from which its row may be removed
     */
    private record Tombstone(MemberId member, long expiresAt) {}
}
