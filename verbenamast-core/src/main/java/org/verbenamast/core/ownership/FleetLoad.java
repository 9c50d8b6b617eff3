package org.verbenamast.core.ownership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;

import org.verbenamast.core.model.MemberId;

/** What members lately said of the request rates of their slices: a sample of the fleet. */
final class FleetLoad {

    private static final long REPORT_TTL_NANOS = Duration.ofSeconds(30).toNanos();

    private final Map<MemberId, RateReport> onRateReport = new HashMap<>();

    void onRateReport(MemberId member, double rate, long now) {
        onRateReport.put(member, new RateReport(rate, now));
    }

    /**
     * Estimates the mean rate of a slice.
     *
     * @param ownRate the rate of all slices of this member, in requests a second
     * @param owned how many slices this member owns
     * @param ownedBy tells how many slices another member owns
     * @param now the monotonic time, in nanoseconds
     * @return the mean in requests a second; 0 where nobody owns a slice
     */
    double meanSliceRate(double ownRate, int owned, ToIntFunction<MemberId> ownedBy, long now) {
        onRateReport.values().removeIf(report -> now - report.receivedAt() > REPORT_TTL_NANOS);
        double rate = ownRate;
        int slices = owned;
        for (Map.Entry<MemberId, RateReport> report : onRateReport.entrySet()) {
            rate += report.getValue().rate();
            slices += ownedBy.applyAsInt(report.getKey());
        }
        return slices == 0 ? 0 : rate / slices;
    }

    /**
     * A report.
     *
     * @param rate the rate in requests a second
     * @param at the monotonic time at which it came, in nanoseconds
     */
    private record RateReport(double rate, long receivedAt) {}
}
