package org.verbenamast.core.table;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.model.Zone;

/**
 * What operators have taken out of service, as far as this node knows. A mark is only ever replaced by a newer one.
 *
 * <pre>{@code
 * if (marks.isOut(member)) {
 *     // give the member nothing new
 * }
 * }</pre>
 */
public final class Marks {

    private final Map<String, MarkRow> rows = new TreeMap<>();
    private final Map<MarkSubject, Long> closing = new HashMap<>();
    private final Set<MarkSubject> closed = new HashSet<>();

    /**
     * Takes a mark.
     *
     * @param mark the mark
     * @param closesAt the monotonic time at which what it takes out is given nothing more at all, in nanoseconds
     * @return whether it is newer than what was known
     */
    public boolean learn(MarkRow mark, long closesAt) {
        MarkRow known = find(mark.subject());
        if (!mark.newerThan(known)) {
            return false;
        }
        rows.put(mark.subject().toString(), mark);
        if (!mark.state().removesWork()) {
            closing.remove(mark.subject());
            closed.remove(mark.subject());
        } else if (!closed.contains(mark.subject())) {
            closing.putIfAbsent(mark.subject(), closesAt);
        }
        return true;
    }

    void advance(long now) {
        closing.entrySet().removeIf(entry -> {
            boolean due = entry.getValue() <= now;
            if (due) {
                closed.add(entry.getKey());
            }
            return due;
        });
    }

    long nextDue() {
        return closing.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
    }

    /**
     * Finds the newest mark of something.
     *
     * @param subject an availability zone or a backend server
     * @return the mark, or null where it was never marked
     */
    public MarkRow find(MarkSubject subject) {
        return rows.get(subject.toString());
    }

    /**
     * Lists the newest mark of everything that was ever marked.
     *
     * @return the marks, in the order of their subjects
     */
    public Collection<MarkRow> all() {
        return rows.values();
    }

    /**
     * Tells whether an availability zone is out of service.
     *
     * @param zone the availability zone
     * @return whether it is
     */
    public boolean isOut(Zone zone) {
        return isOut(MarkSubject.of(zone));
    }

    /**
     * Tells whether a member is out of service, by itself or with its availability zone. It is given no new slices and
     * no requests that another member can take.
     *
     * @param member the member
     * @return whether it is
     */
    public boolean isOut(MemberRow member) {
        return isOut(serverOf(member)) || isOut(member.zone());
    }

    /**
     * Tells whether a member has been out of service for so long that it is given nothing more, also where no other
     * member has taken over its keys.
     *
     * @param member the member
     * @return whether it is
     */
    public boolean isClosed(MemberRow member) {
        return closed.contains(serverOf(member)) || closed.contains(MarkSubject.of(member.zone()));
    }

    private boolean isOut(MarkSubject subject) {
        MarkRow mark = find(subject);
        return mark != null && mark.state().removesWork();
    }

    private static MarkSubject serverOf(MemberRow member) {
        return MarkSubject.of(new ServerName(member.id().node()));
    }
}
