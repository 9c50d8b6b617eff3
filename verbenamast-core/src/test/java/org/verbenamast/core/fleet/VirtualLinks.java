package org.verbenamast.core.fleet;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/** Holds the current faults of the network and the table service, and draws the delays of messages. */
final class VirtualLinks {

    private static final long MIN_LATENCY_NANOS = 300_000;
    private static final long MAX_JITTER_NANOS = 2_000_000;
    private static final long MAX_EXTRA_DELAY_NANOS = 2_500_000_000L;
    private static final long[] NO_DELIVERY = {};

    /** The index of the table service as an end of a link; nodes have the indexes from 0. */
    static final int STORE = -1;

    private final SplittableRandom random;
    private final Set<Integer> cutLinks = new HashSet<>();
    double lossProbability;
    double duplicateProbability;
    double extraDelayProbability;
    boolean storeDown;
    boolean storeUnavailable;
    double storeLossProbability;

    VirtualLinks(SplittableRandom random) {
        this.random = random;
    }

    void cut(int from, int to) {
        cutLinks.add(linkKey(from, to));
    }

    void restore(int from, int to) {
        cutLinks.remove(linkKey(from, to));
    }

    private static int linkKey(int from, int to) {
        return (from + 1) * 100 + to + 1;
    }

    void restoreAll() {
        cutLinks.clear();
        lossProbability = 0;
        duplicateProbability = 0;
        extraDelayProbability = 0;
        storeDown = false;
        storeUnavailable = false;
        storeLossProbability = 0;
    }

    long[] deliveryDelays(int from, int to) {
        return deliveryDelays(from, to, lossProbability);
    }

    long[] requestDelays(int from) {
        return storeDown ? NO_DELIVERY : withoutDuplicate(deliveryDelays(from, STORE, storeLossProbability));
    }

    long[] replyDelays(int to) {
        return storeDown ? NO_DELIVERY : withoutDuplicate(deliveryDelays(STORE, to, storeLossProbability));
    }

    boolean storeUnavailable() {
        return storeUnavailable;
    }

    private static long[] withoutDuplicate(long[] delays) {
        return delays.length > 1 ? new long[] {delays[0]} : delays;
    }

    private long[] deliveryDelays(int from, int to, double loss) {
        if (cutLinks.contains(linkKey(from, to)) || random.nextDouble() < loss) {
            return NO_DELIVERY;
        }
        return random.nextDouble() < duplicateProbability
                ? new long[] {randomDelay(), randomDelay()}
                : new long[] {randomDelay()};
    }

    private long randomDelay() {
        long delay = MIN_LATENCY_NANOS + random.nextLong(MAX_JITTER_NANOS);
        return random.nextDouble() < extraDelayProbability ? delay + random.nextLong(MAX_EXTRA_DELAY_NANOS) : delay;
    }
}
