package org.verbenamast.core.request.peer;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.model.MemberId;

/**
 * Tracks the health of the members that this node sends requests to. A member that fails repeatedly is parked: it
 * receives no requests until a pause has ended. Then the next request probes it, and the probe's outcome decides.
 */
public final class HealthController {

    /** The names that the chart file may use. */
    public static final Vocabulary<HealthEvent, HealthGuard, HealthAction, HealthTimer, HealthTag> VOCABULARY =
            new Vocabulary<>(
                    HealthEvent.class, HealthGuard.class, HealthAction.class, HealthTimer.class, HealthTag.class);

    private static final Effects NO_EFFECTS = effect -> {};

    private final ChartInstances<MemberId, HealthEvent, HealthData, HealthEvent> members;

    /**
     * Creates a controller without members.
     *
     * @param listener is notified of each transition
     */
    public HealthController(TransitionListener listener) {
        Chart<HealthEvent, HealthData, HealthEvent> chart = ChartReader.bundled("health", VOCABULARY);
        this.members = new ChartInstances<>(chart, event -> event, listener);
    }

    /**
     * Handles an event of a member. A member's chart starts with its first failure; earlier events are ignored.
     *
     * @param member the member
     * @param event what this node observed
     * @param now the monotonic time, in nanoseconds
     */
    public void onEvent(MemberId member, HealthEvent event, long now) {
        if (members.find(member) == null) {
            if (event != HealthEvent.FAILED) {
                return;
            }
            members.begin(member, HealthData.initial(), now);
        }
        members.fire(member, event, event, now, NO_EFFECTS);
    }

    /**
     * Returns whether a member is parked, that is, receives no requests at present.
     *
     * @param member the member
     * @return true if the member is parked or a probe is in flight there
     */
    public boolean isParked(MemberId member) {
        Instance<HealthData> health = members.size() == 0 ? null : members.find(member);
        return health != null && health.hasTag(HealthTag.PARKED);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     */
    public void advance(long now) {
        members.advance(now, NO_EFFECTS);
    }

    /**
     * Returns when the next timer is due.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return members.nextDue();
    }
}
