package org.verbenamast.core.ownership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;

import org.verbenamast.core.model.MemberId;

/** The request rates that other members reported in the last 30 seconds: a sample of the fleet's load. */
final class FleetLoad {

    private static final long REPORT_TTL_NANOS = Duration.ofSeconds(30).toNanos();

    private final Map<MemberId, RateReport> reports = new HashMap<>();

    void onRateReport(MemberId member, double rate, long now) {
        reports.put(member, new RateReport(rate, now));
    }

    /**
     * Estimates the mean request rate of a slice from this member and those whose reports have not expired.
     *
     * @param ownRate the rate of all slices of this member, in requests a second
     * @param owned how many slices this member owns
     * @param ownedBy returns how many slices another member owns
     * @param now the monotonic time, in nanoseconds
     * @return the mean in requests a second; 0 if none of these members owns a slice
     */
    double meanSliceRate(double ownRate, int owned, ToIntFunction<MemberId> ownedBy, long now) {
        reports.values().removeIf(report -> now - report.receivedAt() > REPORT_TTL_NANOS);
        double rate = ownRate;
        int slices = owned;
        for (Map.Entry<MemberId, RateReport> report : reports.entrySet()) {
            rate += report.getValue().rate();
            slices += ownedBy.applyAsInt(report.getKey());
        }
        return slices == 0 ? 0 : rate / slices;
    }

    /**
     * A member's report of the request rate of all its slices.
     *
     * @param rate the request rate, in requests a second
     * @param receivedAt the monotonic time of arrival, in nanoseconds
     */
    private record RateReport(double rate, long receivedAt) {}
}
