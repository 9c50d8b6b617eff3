package org.verbenamast.core.tenant;

import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.node.Timing;

/** The guards of chart {@code cap-share}, a node's share of the caps. */
public enum ShareGuard implements Guard<ShareData, ShareInput> {
    /** The bank has answered lately, and no other bank may still mint the share. */
    MAY_CEDE {
        @Override
        public boolean permits(ShareData data, ShareInput input, long now) {
            return input.bank()
                    .filter(bank -> bank.node().equals(data.heardBank())
                            && now - data.heardAt() < ANSWER_VALID_NANOS
                            && (bank.node().equals(data.cededTo()) || now >= data.cededUntil()))
                    .isPresent();
        }
    };

    /** Time for which an answer shows that the bank works, in nanoseconds; a little more than two reports are apart. */
    private static final long ANSWER_VALID_NANOS = Timing.millisToNanos(600);
}
