package org.verbenamast.core.fleet;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/** What is wrong with the network and the table service at present. */
final class VirtualLinks {

    private static final long LATENCY_NANOS = 300_000;
    private static final long JITTER_NANOS = 2_000_000;
    private static final long LATE_NANOS = 2_500_000_000L;
    private static final long[] NOTHING = {};

    /** Stands for the table service among the places. */
    static final int STORE = -1;

    private final SplittableRandom random;
    private final Set<Integer> cuts = new HashSet<>();
    double lost;
    double doubled;
    double late;
    boolean storeDown;
    boolean storeRefuses;
    double storeLost;

    VirtualLinks(SplittableRandom random) {
        this.random = random;
    }

    void cut(int from, int to) {
        cuts.add(pair(from, to));
    }

    void healCut(int from, int to) {
        cuts.remove(pair(from, to));
    }

    private static int pair(int from, int to) {
        return (from + 1) * 100 + to + 1;
    }

    void heal() {
        cuts.clear();
        lost = 0;
        doubled = 0;
        late = 0;
        storeDown = false;
        storeRefuses = false;
        storeLost = 0;
    }

    long[] delays(int from, int to) {
        return delays(from, to, lost);
    }

    long[] requestDelays(int from) {
        return storeDown ? NOTHING : once(delays(from, STORE, storeLost));
    }

    long[] replyDelays(int to) {
        return storeDown ? NOTHING : once(delays(STORE, to, storeLost));
    }

    boolean storeRefuses() {
        return storeRefuses;
    }

    private static long[] once(long[] delays) {
        return delays.length > 1 ? new long[] {delays[0]} : delays;
    }

    private long[] delays(int from, int to, double loss) {
        if (cuts.contains(pair(from, to)) || random.nextDouble() < loss) {
            return NOTHING;
        }
        return random.nextDouble() < doubled ? new long[] {delay(), delay()} : new long[] {delay()};
    }

    private long delay() {
        long usual = LATENCY_NANOS + random.nextLong(JITTER_NANOS);
        return random.nextDouble() < late ? usual + random.nextLong(LATE_NANOS) : usual;
    }
}
