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
final class SliceWeights {

    private static final double HOT_FACTOR = 2;
    private static final double CHANGE_FACTOR = 1.5;
    private static final double MIN_HOT_RATE = 10;
    private static final int MAX_HEAT = 10_000;
    private static final long COOL_AFTER_NANOS = Duration.ofSeconds(20).toNanos();

    private final Map<SliceId, SliceRate> rates = new HashMap<>();
    private final FleetLoad fleet = new FleetLoad();
    private final ToIntFunction<MemberId> ownedBy;

    /** Makes a measure of no slices; the function tells how many slices another member owns. */
    SliceWeights(ToIntFunction<MemberId> ownedBy) {
        this.ownedBy = ownedBy;
    }

    void begin(SliceId slice, long now) {
        rates.put(slice, new SliceRate(now));
    }

    void end(SliceId slice) {
        rates.remove(slice);
    }

    void count(SliceId slice, long now) {
        SliceRate rate = rates.get(slice);
        if (rate != null) {
            rate.count(now);
        }
    }

    void heard(MemberId member, double rate, long now) {
        fleet.heard(member, rate, now);
    }

    /** Returns the rate of all slices together, in requests a second. */
    double total(long now) {
        return rates.values().stream().mapToDouble(rate -> rate.perSecond(now)).sum();
    }

    /** Returns the mean rate of the slices of the fleet, in requests a second. */
    double mean(long now) {
        return fleet.meanSliceRate(total(now), rates.size(), ownedBy, now);
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
    int heat(SliceId slice, int before, double mean, long now) {
        SliceRate rate = rates.get(slice);
        if (rate == null) {
            return before;
        }
        int heat = heatOf(rate.perSecond(now), mean);
        boolean hotter = heat >= before * CHANGE_FACTOR;
        boolean cooler = heat * CHANGE_FACTOR <= before && rate.age(now) >= COOL_AFTER_NANOS;
        return hotter || cooler ? heat : before;
    }

    private static int heatOf(double rate, double mean) {
        if (rate < MIN_HOT_RATE || rate < HOT_FACTOR * mean) {
            return 1;
        }
        return (int) Math.min(MAX_HEAT, rate / mean);
    }
}
