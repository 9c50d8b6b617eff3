package org.verbenamast.core.tenant;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.verbenamast.core.node.Timing;

/**
 * The shares that nodes have ceded to a bank: which part of all caps the bank may mint, and since when. Times are those
 * of the bank.
 */
final class CessionLedger {

    /** Time between two recorded sums, in nanoseconds. */
    private static final long SAMPLE_NANOS = Timing.millisToNanos(50);
    /** How long sums are kept, in nanoseconds; as long as a token can be valid. */
    private static final long KEPT_NANOS = Timing.millisToNanos(60_000);

    /** A share that is ceded: that of one among a number of members. */
    private record Cession(int members, long from, long until) {

        /** Returns the share times the part of an interval in which it is ceded, in nanoseconds. */
        double within(long begin, long end) {
            return (double) Math.max(0, Math.min(end, until) - Math.max(begin, from)) / members;
        }
    }

    private final Map<String, Cession> cessions = new HashMap<>();
    /** The sum of all shares over time, in nanoseconds, by the time up to which it is known. */
    private final TreeMap<Long, Double> sums = new TreeMap<>();

    private double ended;

    CessionLedger(long now) {
        sums.put(now, 0.0);
    }

    /** Records that a node cedes its share until a time; a share counts once, however often it is ceded. */
    void cede(String node, int members, long until, long now) {
        Cession before = cessions.get(node);
        if (before != null && before.until() >= now) {
            cessions.put(node, new Cession(members, before.from(), Math.max(before.until(), until)));
            return;
        }
        if (before != null) {
            ended += before.within(sums.lastKey(), now);
        }
        cessions.put(node, new Cession(members, now, until));
    }

    /** Brings the sums up to date. */
    void advance(long now) {
        long last = sums.lastKey();
        if (now - last < SAMPLE_NANOS) {
            return;
        }
        double sum = sums.lastEntry().getValue() + ended;
        ended = 0;
        for (Cession cession : cessions.values()) {
            sum += cession.within(last, now);
        }
        cessions.values().removeIf(cession -> cession.until() <= now);
        sums.put(now, sum);
        sums.headMap(now - KEPT_NANOS).clear();
    }

    /** Returns up to when the ceded shares are known, in nanoseconds. */
    long knownUntil() {
        return sums.lastKey();
    }

    /** Returns the ceded shares in an interval, each times its length in nanoseconds. */
    double ceded(long begin, long end) {
        return Math.max(0, sumAt(end) - sumAt(begin));
    }

    private double sumAt(long at) {
        Map.Entry<Long, Double> before = sums.floorEntry(at);
        Map.Entry<Long, Double> after = sums.ceilingEntry(at);
        if (before == null) {
            return sums.firstEntry().getValue();
        }
        if (after == null || after.getKey().equals(before.getKey())) {
            return before.getValue();
        }
        double ratio = (double) (at - before.getKey()) / (after.getKey() - before.getKey());
        return before.getValue() + ratio * (after.getValue() - before.getValue());
    }

    /** Returns the part of all caps that is ceded now. */
    double share(long now) {
        return cessions.values().stream()
                .filter(cession -> cession.until() > now)
                .mapToDouble(cession -> 1.0 / cession.members())
                .sum();
    }

    /** Returns the number of nodes whose share is ceded now. */
    long nodes(long now) {
        return cessions.values().stream()
                .filter(cession -> cession.until() > now)
                .count();
    }
}
