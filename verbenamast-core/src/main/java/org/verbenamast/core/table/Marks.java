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
 * The newest mark of each availability zone and backend server, as far as this node knows. A mark is replaced only by a
 * newer one. A subject that is out of service still gets requests that no other member can serve, until it is closed
 * after a delay.
 *
 * <pre>{@code
 * if (marks.isOut(member)) {
 *     // assign no new slices to the member
 * }
 * }</pre>
 */
public final class Marks {

    private final Map<String, MarkRow> newest = new TreeMap<>();
    private final Map<MarkSubject, Long> closeTimes = new HashMap<>();
    private final Set<MarkSubject> closed = new HashSet<>();

    /**
     * Applies a mark unless a newer one is known.
     *
     * @param mark the mark
     * @param closesAt the monotonic time, in nanoseconds, from which a subject out of service gets no requests at all
     * @return whether the mark is newer than the known one
     */
    public boolean apply(MarkRow mark, long closesAt) {
        MarkRow known = find(mark.subject());
        if (!mark.newerThan(known)) {
            return false;
        }
        newest.put(mark.subject().toString(), mark);
        if (!mark.state().removesWork()) {
            closeTimes.remove(mark.subject());
            closed.remove(mark.subject());
        } else if (!closed.contains(mark.subject())) {
            closeTimes.putIfAbsent(mark.subject(), closesAt);
        }
        return true;
    }

    void advance(long now) {
        closeTimes.entrySet().removeIf(entry -> {
            boolean due = entry.getValue() <= now;
            if (due) {
                closed.add(entry.getKey());
            }
            return due;
        });
    }

    long nextDue() {
        return closeTimes.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
    }

    /**
     * Returns the newest mark of a subject.
     *
     * @param subject an availability zone or a backend server
     * @return the mark, or null if the subject was never marked
     */
    public MarkRow find(MarkSubject subject) {
        return newest.get(subject.toString());
    }

    /**
     * Returns the newest mark of each subject.
     *
     * @return the marks, ordered by the text of their subjects
     */
    public Collection<MarkRow> all() {
        return newest.values();
    }

    /**
     * Returns whether an availability zone is out of service.
     *
     * @param zone the availability zone
     * @return whether its newest mark takes it out of service
     */
    public boolean isOut(Zone zone) {
        return isOut(MarkSubject.of(zone));
    }

    /**
     * Returns whether a member is out of service, either itself or with its availability zone. Such a member gets no
     * new slices and no requests that another member can serve.
     *
     * @param member the member
     * @return whether its backend server or its zone is out of service
     */
    public boolean isOut(MemberRow member) {
        return isOut(subjectOf(member)) || isOut(member.zone());
    }

    /**
     * Returns whether a member is closed: it has been out of service for so long that it gets no requests at all, even
     * for keys that no other member has taken over yet.
     *
     * @param member the member
     * @return whether its backend server or its zone is closed
     */
    public boolean isClosed(MemberRow member) {
        return closed.contains(subjectOf(member)) || closed.contains(MarkSubject.of(member.zone()));
    }

    private boolean isOut(MarkSubject subject) {
        MarkRow mark = find(subject);
        return mark != null && mark.state().removesWork();
    }

    private static MarkSubject subjectOf(MemberRow member) {
        return MarkSubject.of(new ServerName(member.id().node()));
    }
}
