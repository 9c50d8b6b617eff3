package org.verbenamast.core.lease;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of the promise to a holder. */
public enum VoucherTimer implements TimerRule<VoucherEvent, VoucherData> {
    /** Waits for the holder to ask again; longer, the later this node stands in the holder's list. */
    SILENCE {
        @Override
        public VoucherEvent fires() {
            return VoucherEvent.SILENCE_ENDED;
        }

        @Override
        public long delayNanos(VoucherData data, long now) {
            VoucherDesk desk = data.desk();
            return desk.terms().promise()
                    + desk.rank(data.holder()) * desk.terms().rankStep();
        }
    }
}
