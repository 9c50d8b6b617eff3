package org.verbenamast.core.request;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.node.Timing;

/** What a node has seen itself of the members it sends requests to. */
public final class MemberSignals {

    private static final double DECAY_NANOS = Timing.millisToNanos(1_000);
    private static final double SHARE = 0.1;
    private static final double UNSEEN_NANOS = Timing.millisToNanos(1);

    private final Map<MemberId, Map<RequestId, Long>> inFlight = new HashMap<>();
    private final Map<MemberId, Seen> latencies = new HashMap<>();
    private long turns;

    private record Seen(double nanos, long at) {}

    /**
     * Returns how many of this node's requests a member has.
     *
     * @param member the member
     * @return the number
     */
    public int inFlight(MemberId member) {
        return inFlight.getOrDefault(member, Map.of()).size();
    }

    /**
     * Lists this node's requests that a member has.
     *
     * @param member the member
     * @return the requests' identities
     */
    public List<RequestId> at(MemberId member) {
        return List.copyOf(inFlight.getOrDefault(member, Map.of()).keySet());
    }

    /**
     * Notes that a request is on its way to a member.
     *
     * @param id the request's identity
     * @param to the member
     * @param now the monotonic time, in nanoseconds
     */
    public void sent(RequestId id, MemberId to, long now) {
        inFlight.computeIfAbsent(to, member -> new LinkedHashMap<>()).put(id, now);
    }

    /**
     * Notes that a member no longer has a request.
     *
     * @param id the request's identity
     * @param at the member
     */
    public void left(RequestId id, MemberId at) {
        inFlight.computeIfPresent(at, (member, ids) -> {
            ids.remove(id);
            return ids.isEmpty() ? null : ids;
        });
    }

    /**
     * Learns how long a member took. Recent times count most.
     *
     * @param member the member
     * @param nanos the time in nanoseconds
     * @param now the monotonic time, in nanoseconds
     */
    public void took(MemberId member, long nanos, long now) {
        Seen before = latencies.get(member);
        double next = before == null ? nanos : before.nanos() + (nanos - before.nanos()) * SHARE;
        latencies.put(member, new Seen(next, now));
    }

    /**
     * Learns that a member took longer than this node waited for it.
     *
     * @param member the member
     * @param nanos the time waited, in nanoseconds
     * @param now the monotonic time, in nanoseconds
     */
    public void tookMoreThan(MemberId member, long nanos, long now) {
        Seen before = latencies.get(member);
        if (before == null || before.nanos() < nanos) {
            latencies.put(member, new Seen(nanos, now));
        }
    }

    /**
     * Estimates how soon a member would answer one more request.
     *
     * @param member the member
     * @param now the monotonic time, in nanoseconds
     * @return a number that is less for the member that answers sooner
     */
    public double cost(MemberId member, long now) {
        Seen seen = latencies.get(member);
        double latency = seen == null ? 0 : seen.nanos() * Math.exp(-(now - seen.at()) / DECAY_NANOS);
        return (Math.max(latency, oldestAge(member, now)) + UNSEEN_NANOS) * (inFlight(member) + 1);
    }

    private long oldestAge(MemberId member, long now) {
        Map<RequestId, Long> sent = inFlight.get(member);
        return sent == null ? 0 : now - sent.values().iterator().next();
    }

    /**
     * Counts the choices made in turn.
     *
     * @return the number of earlier choices
     */
    public long turn() {
        return turns++;
    }

    /**
     * Forgets members that are gone for good.
     *
     * @param member the member
     */
    public void forget(MemberId member) {
        latencies.remove(member);
    }
}
