package org.verbenamast.core.table;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of a change of the table: none, since a change waits as long as its operators do. */
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
