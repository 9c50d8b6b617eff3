package org.verbenamast.core.entry;

import java.util.Objects;

import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.request.peer.HealthController;
import org.verbenamast.core.request.peer.HealthEvent;
import org.verbenamast.core.roster.Member;

/** What this node has learned of other members by sending them requests: their load, and whether they are reachable. */
final class MemberContacts {

    private final HealthController health = new HealthController(TransitionListener.NONE);
    private final MemberLoads loads;

    MemberContacts(MemberLoads loads) {
        this.loads = Objects.requireNonNull(loads, "loads");
    }

    private static MemberId healthIdOf(Member member) {
        return new MemberId(member.node(), 1);
    }

    boolean isReachable(Member member) {
        return !health.isParked(healthIdOf(member));
    }

    void onIncarnationChanged(Member member, long now) {
        health.onEvent(healthIdOf(member), HealthEvent.ENDED, now);
    }

    void onSent(Member member, long now) {
        loads.onSent(member.node(), now);
        health.onEvent(healthIdOf(member), HealthEvent.SENT, now);
    }

    void onLoadReport(Member member, AdmissionLoad load, long now) {
        loads.onLoadReport(member.node(), load, now);
    }

    void onResult(Member member, boolean reached, long now) {
        health.onEvent(healthIdOf(member), reached ? HealthEvent.SUCCEEDED : HealthEvent.FAILED, now);
    }

    void advance(long now) {
        health.advance(now);
    }

    long nextDue() {
        return health.nextDue();
    }
}
