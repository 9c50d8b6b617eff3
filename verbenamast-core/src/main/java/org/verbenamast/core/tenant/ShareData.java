package org.verbenamast.core.tenant;

import java.util.Objects;

/**
 * The data of chart {@code cap-share}, a node's share of the caps. Times are in nanoseconds of the node's clock.
 *
 * @param heardBank the name of the bank that answered last; empty before the first answer
 * @param stamp the stamp of its answer
 * @param heardAt when the answer came
 * @param cededTo the name of the bank to which the share was ceded last; empty if it never was
 * @param cededUntil until when the share is ceded, or may have been by an earlier process
 * @param ownSince since when the node mints the share itself; meaningless in other states
 */
public record ShareData(
        String heardBank, CapStamp stamp, long heardAt, String cededTo, long cededUntil, long ownSince) {

    /** Checks that no part is missing. */
    public ShareData {
        Objects.requireNonNull(heardBank, "heardBank");
        Objects.requireNonNull(stamp, "stamp");
        Objects.requireNonNull(cededTo, "cededTo");
    }

    static ShareData atStart(long startedAt) {
        return new ShareData("", CapStamp.NONE, startedAt, "", startedAt + ShareTimer.TERM_NANOS, startedAt);
    }

    ShareData withAnswer(String bank, CapStamp next, long now) {
        return new ShareData(bank, next, now, cededTo, cededUntil, ownSince);
    }

    ShareData ceded(String bank, long until) {
        return new ShareData(heardBank, stamp, heardAt, bank, until, ownSince);
    }

    ShareData own(long now) {
        return new ShareData(heardBank, stamp, heardAt, cededTo, cededUntil, now);
    }
}
