package org.verbenamast.core.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.store.Row;

/** The rows of ended members, which are kept long enough that a late message can't bring the member back. */
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

    /** Forgets the members whose time is up; one that a grant still names is kept for as long again. */
    void advance(long now) {
        while (!byAge.isEmpty() && byAge.peekFirst().expiresAt() <= now) {
            MemberId member = byAge.pollFirst().member();
            if (!directory.removeEnded(member) && directory.hasEnded(member)) {
                byAge.addLast(new Tombstone(member, now + RETENTION_NANOS));
            }
        }
    }

    /**
     * An ended member.
     *
     * @param member the member
     * @param until when its row may be forgotten, as a monotonic time in nanoseconds
     */
    private record Tombstone(MemberId member, long expiresAt) {}
}
