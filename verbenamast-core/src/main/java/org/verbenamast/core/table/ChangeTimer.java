package org.verbenamast.core.table;

import org.verbenamast.core.chart.TimerRule;

/** The timers of the chart {@code change}: none, because an open change has no time limit. */
public enum ChangeTimer implements TimerRule<ChangeEvent, ChangeData> {
    ;

    @Override
    public ChangeEvent fires() {
        throw new IllegalStateException("a change should have no timers");
    }

    @Override
    public long delayNanos(ChangeData data, long now) {
        throw new IllegalStateException("a change should have no timers");
    }
}
