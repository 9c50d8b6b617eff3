package org.verbenamast.core.request;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.node.Timing;

/** Requests in flight and latencies of the members that this node sends requests to, as observed by this node alone. */
public final class MemberStats {

    private static final double DECAY_TIME_CONSTANT_NANOS = Timing.millisToNanos(1_000);
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double BASE_LATENCY_NANOS = Timing.millisToNanos(1);

    private final Map<MemberId, Map<RequestId, Long>> inFlight = new HashMap<>();
    private final Map<MemberId, LatencyEstimate> latencies = new HashMap<>();
    private long turns;

    private record LatencyEstimate(double nanos, long updatedAt) {}

    /**
     * Returns how many requests of this node are in flight at a member.
     *
     * @param member the member
     * @return the number of requests
     */
    public int inFlight(MemberId member) {
        return inFlight.getOrDefault(member, Map.of()).size();
    }

    /**
     * Lists the requests of this node that are in flight at a member.
     *
     * @param member the member
     * @return the ids of the requests, oldest first
     */
    public List<RequestId> requestsAt(MemberId member) {
        return List.copyOf(inFlight.getOrDefault(member, Map.of()).keySet());
    }

    /**
     * Records that a request was sent to a member.
     *
     * @param id the id of the request
     * @param member the member
     * @param now the monotonic time, in nanoseconds
     */
    public void addInFlight(RequestId id, MemberId member, long now) {
        inFlight.computeIfAbsent(member, absent -> new LinkedHashMap<>()).put(id, now);
    }

    /**
     * Removes a request that is no longer in flight at a member.
     *
     * @param id the id of the request
     * @param member the member
     */
    public void removeInFlight(RequestId id, MemberId member) {
        inFlight.computeIfPresent(member, (present, ids) -> {
            ids.remove(id);
            return ids.isEmpty() ? null : ids;
        });
    }

    /**
     * Records the latency of an answer. The average is exponentially weighted, so recent latencies count most.
     *
     * @param member the member
     * @param nanos the latency in nanoseconds
     * @param now the monotonic time, in nanoseconds
     */
    public void recordLatency(MemberId member, long nanos, long now) {
        LatencyEstimate previous = latencies.get(member);
        double average = previous == null ? nanos : previous.nanos() + (nanos - previous.nanos()) * SMOOTHING_FACTOR;
        latencies.put(member, new LatencyEstimate(average, now));
    }

    /**
     * Raises a member's latency to the time that this node waited before it abandoned an attempt there.
     *
     * @param member the member
     * @param nanos the lower bound of the latency, in nanoseconds
     * @param now the monotonic time, in nanoseconds
     */
    public void recordMinimumLatency(MemberId member, long nanos, long now) {
        LatencyEstimate previous = latencies.get(member);
        if (previous == null || previous.nanos() < nanos) {
            latencies.put(member, new LatencyEstimate(nanos, now));
        }
    }

    /**
     * Returns the cost of one more request at a member: its latency times the number of requests in flight there, the
     * new one included. The latency is the decayed average, or the age of the oldest request in flight if that is
     * greater. A base latency is added, so that requests in flight count even at a member without a recorded latency.
     *
     * @param member the member
     * @param now the monotonic time, in nanoseconds
     * @return the cost; a lower cost means an earlier answer
     */
    public double cost(MemberId member, long now) {
        LatencyEstimate estimate = latencies.get(member);
        double latency = estimate == null
                ? 0
                : estimate.nanos() * Math.exp(-(now - estimate.updatedAt()) / DECAY_TIME_CONSTANT_NANOS);
        return (Math.max(latency, oldestAge(member, now)) + BASE_LATENCY_NANOS) * (inFlight(member) + 1);
    }

    private long oldestAge(MemberId member, long now) {
        Map<RequestId, Long> sent = inFlight.get(member);
        return sent == null ? 0 : now - sent.values().iterator().next();
    }

    /**
     * Advances the round-robin counter.
     *
     * @return the number of earlier calls
     */
    public long nextTurn() {
        return turns++;
    }

    /**
     * Discards the latency of a member whose incarnation has ended.
     *
     * @param member the member
     */
    public void forget(MemberId member) {
        latencies.remove(member);
    }
}
