package org.verbenamast.core.request.peer;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.model.MemberId;

/** The members that this node sends requests to: those that fail are parked and probed. */
public final class HealthDesk {

    /** The names that the chart file may use. */
    public static final Vocabulary<HealthEvent, HealthGuard, HealthAction, HealthTimer, HealthTag> VOCABULARY =
            new Vocabulary<>(
                    HealthEvent.class, HealthGuard.class, HealthAction.class, HealthTimer.class, HealthTag.class);

    private static final Effects NO_EFFECTS = effect -> {};

    private final ChartInstances<MemberId, HealthEvent, HealthData, HealthEvent> members;

    /**
     * Makes a desk that has seen nobody.
     *
     * @param listener is told of each transition
     */
    public HealthDesk(TransitionListener listener) {
        Chart<HealthEvent, HealthData, HealthEvent> chart = ChartReader.bundled("health", VOCABULARY);
        this.members = new ChartInstances<>(chart, event -> event, listener);
    }

    /**
     * Takes what was seen of a member.
     *
     * @param member the member
     * @param event what was seen
     * @param now the monotonic time, in nanoseconds
     */
    public void saw(MemberId member, HealthEvent event, long now) {
        if (members.find(member) == null) {
            if (event != HealthEvent.FAILED) {
                return;
            }
            members.begin(member, HealthData.unseen(), now);
        }
        members.fire(member, event, event, now, NO_EFFECTS);
    }

    /**
     * Tells whether a member is given no requests at present.
     *
     * @param member the member
     * @return whether it is parked
     */
    public boolean parked(MemberId member) {
        Instance<HealthData> seen = members.find(member);
        return seen != null && seen.hasTag(HealthTag.PARKED);
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
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return members.nextDue();
    }
}
