package org.verbenamast.core.entry;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.roster.Member;

/**
 * A request at its entry.
 *
 * @param request the request
 * @param target the member that has it, or had it last
 * @param asked the nodes that were asked and should not be asked again
 * @param sends how often it has reached a server
 * @param asks how often a node was asked
 * @param refusal why it was refused last
 * @param retryAfterMillis when room is expected, in milliseconds; 0 where it is not known
 * @param mayHaveRun whether a try ended in a way that promises nothing about the run
 * @param pausing whether to wait before the owner of the key is asked again
 */
public record EntryData(
        EntryRequest request,
        Optional<Member> target,
        Set<String> asked,
        int sends,
        int asks,
        Refusal refusal,
        long retryAfterMillis,
        boolean mayHaveRun,
        boolean pausing) {

    /** Checks the fields and copies the set. */
    public EntryData {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(target, "target");
        asked = Set.copyOf(asked);
        Objects.requireNonNull(refusal, "refusal");
    }

    static EntryData arrived(EntryRequest request) {
        return new EntryData(request, Optional.empty(), Set.of(), 0, 0, Refusal.NO_SERVER, 0, false, false);
    }

    EntryData opened(Member to) {
        return new EntryData(
                request, Optional.of(to), asked, sends, asks + 1, refusal, retryAfterMillis, mayHaveRun, false);
    }

    EntryData refused(Refusal reason, long millis) {
        long soonest = retryAfterMillis == 0 ? millis : Math.min(retryAfterMillis, millis);
        return new EntryData(
                request, target, withTarget(), sends + reason.arrivals(), asks, reason, soonest, mayHaveRun, true);
    }

    /** Returns the request after a try of which nobody can tell whether it ran. */
    EntryData sent() {
        return new EntryData(request, target, withTarget(), sends + 1, asks, refusal, retryAfterMillis, true, false);
    }

    EntryData resumed() {
        return new EntryData(request, target, asked, sends, asks, refusal, retryAfterMillis, mayHaveRun, false);
    }

    private Set<String> withTarget() {
        Set<String> more = new HashSet<>(asked);
        target.ifPresent(member -> more.add(member.node()));
        return more;
    }

    /** Tells whether the request may be sent to one more server. */
    boolean sendsLeft() {
        return sends + 1 < request.route().maxAttempts();
    }

    /** Tells whether the request may run once more though it may have run already. */
    boolean repeatable() {
        return request.route().kind().isRepeatable() && sendsLeft();
    }

    boolean keyed() {
        return request.key().isPresent();
    }
}
