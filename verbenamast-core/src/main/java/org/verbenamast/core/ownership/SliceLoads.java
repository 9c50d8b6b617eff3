package org.verbenamast.core.ownership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.SliceId;

/**
 * Measures the load of this member's slices. A slice's load is its request rate as a multiple of the fleet's mean rate
 * of a slice; it is 1 for each slice that is not hot. The load changes only by a factor of at least 1.5, so that noise
 * in the request rates does not change it.
 */
final class SliceLoads {

    private static final double HOT_FACTOR = 2;
    private static final double CHANGE_FACTOR = 1.5;
    private static final double MIN_HOT_REQUESTS_PER_SECOND = 10;
    private static final int MAX_LOAD = 10_000;
    private static final long MIN_AGE_TO_LOWER_NANOS = Duration.ofSeconds(20).toNanos();

    private final Map<SliceId, SliceRate> rates = new HashMap<>();
    private final FleetLoad fleetLoad = new FleetLoad();
    private final ToIntFunction<MemberId> ownedBy;

    /** Creates a measure without slices; {@code ownedBy} returns how many slices another member owns. */
    SliceLoads(ToIntFunction<MemberId> ownedBy) {
        this.ownedBy = ownedBy;
    }

    void startMeasuring(SliceId slice, long now) {
        rates.put(slice, new SliceRate(now));
    }

    void stopMeasuring(SliceId slice) {
        rates.remove(slice);
    }

    void recordRequest(SliceId slice, long now) {
        SliceRate rate = rates.get(slice);
        if (rate != null) {
            rate.recordRequest(now);
        }
    }

    void onRateReport(MemberId member, double rate, long now) {
        fleetLoad.onRateReport(member, rate, now);
    }

    /** Returns the request rate of all slices of this member together, in requests a second. */
    double totalRate(long now) {
        return rates.values().stream().mapToDouble(rate -> rate.perSecond(now)).sum();
    }

    /** Returns the estimated mean request rate of a slice over the fleet, in requests a second. */
    double meanSliceRate(long now) {
        return fleetLoad.meanSliceRate(totalRate(now), rates.size(), ownedBy, now);
    }

    /**
     * Returns the load that the slice's row should have. A load is lowered only after the slice was measured for 20
     * seconds, since the rate of a slice that this member has just got starts at 0.
     *
     * @param slice the slice
     * @param before the load in the slice's row
     * @param mean the fleet's mean request rate of a slice, in requests a second
     * @param now the monotonic time, in nanoseconds
     * @return the measured load, or {@code before} if the change is small or the slice is not measured
     */
    int updatedLoad(SliceId slice, int before, double mean, long now) {
        SliceRate rate = rates.get(slice);
        if (rate == null) {
            return before;
        }
        int measured = loadOf(rate.perSecond(now), mean);
        boolean higher = measured >= before * CHANGE_FACTOR;
        boolean lower = measured * CHANGE_FACTOR <= before && rate.age(now) >= MIN_AGE_TO_LOWER_NANOS;
        return higher || lower ? measured : before;
    }

    private static int loadOf(double rate, double mean) {
        if (rate < MIN_HOT_REQUESTS_PER_SECOND || rate < HOT_FACTOR * mean) {
            return 1;
        }
        return (int) Math.min(MAX_LOAD, rate / mean);
    }
}
