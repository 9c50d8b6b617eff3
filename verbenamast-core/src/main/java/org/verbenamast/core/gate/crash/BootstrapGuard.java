package org.verbenamast.core.gate.crash;

import org.verbenamast.core.chart.Guard;

/** The guards of chart {@code bootstrap}, the start of a node. */
public enum BootstrapGuard implements Guard<Integer, BootstrapInput> {
    /** The maximum number of members has been queried. */
    ASKED_ENOUGH {
        @Override
        public boolean permits(Integer asked, BootstrapInput input, long now) {
            return asked >= MAX_QUERIED_MEMBERS;
        }
    };

    private static final int MAX_QUERIED_MEMBERS = 3;
}
