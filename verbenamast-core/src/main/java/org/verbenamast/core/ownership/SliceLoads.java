package org.verbenamast.core.ownership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.SliceId;

/**
 * Measures how hot this member's slices are. A slice's heat is how many ordinary slices it counts as; ordinary is the
 * mean over the fleet. It changes only where the change is large, so that noise changes nothing.
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

    /** Makes a measure of no slices; the function tells how many slices another member owns. */
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

    /** Returns the rate of all slices together, in requests a second. */
    double totalRate(long now) {
        return rates.values().stream().mapToDouble(rate -> rate.perSecond(now)).sum();
    }

    /** Returns the mean rate of the slices of the fleet, in requests a second. */
    double meanSliceRate(long now) {
        return fleetLoad.meanSliceRate(totalRate(now), rates.size(), ownedBy, now);
    }

    /**
     * Measures a slice.
     *
     * @param slice the slice
     * @param before the heat that the slice's row gives
     * @param mean the mean rate of the slices of the fleet, in requests a second
     * @param now the monotonic time, in nanoseconds
     * @return the heat that the row should give
     */
    int load(SliceId slice, int before, double mean, long now) {
        SliceRate rate = rates.get(slice);
        if (rate == null) {
            return before;
        }
        int heat = loadOf(rate.perSecond(now), mean);
        boolean hotter = heat >= before * CHANGE_FACTOR;
        boolean cooler = heat * CHANGE_FACTOR <= before && rate.age(now) >= MIN_AGE_TO_LOWER_NANOS;
        return hotter || cooler ? heat : before;
    }

    private static int loadOf(double rate, double mean) {
        if (rate < MIN_HOT_REQUESTS_PER_SECOND || rate < HOT_FACTOR * mean) {
            return 1;
        }
        return (int) Math.min(MAX_LOAD, rate / mean);
    }
}
