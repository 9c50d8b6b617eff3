package org.verbenamast.core.gate.crash;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of a node that has just started. */
public enum BootstrapGuard implements Guard<Integer, BootstrapInput> {
    /** Enough members were asked. */
    ASKED_ENOUGH {
        @Override
        public boolean permits(Integer asked, BootstrapInput input, long now) {
            return asked >= MEMBERS_TO_ASK;
        }
    };

    private static final int MEMBERS_TO_ASK = 3;
}
