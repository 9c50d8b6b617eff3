package org.verbenamast.core.tenant;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.node.Timing;

/** What a node holds of a tenant's cap: tokens, the demand for them, and the requests that wait for one. */
final class TenantAccount {

    /** Time for which the node wants tokens in advance, in seconds; longer than the interval of reports. */
    private static final double ADVANCE_SECONDS = 0.6;
    /** Part of these tokens below which more are asked for. */
    private static final double LOW_RATIO = 0.3;
    /** Time constant of the measured demand, in nanoseconds. */
    private static final double DEMAND_NANOS = 0.5e9;
    /** Longest time for which requests are refused without asking the bank again, in nanoseconds. */
    private static final long MAX_DENIED_NANOS = Timing.millisToNanos(100);

    private static final double NANOS_PER_SECOND = 1e9;
    /** Demand below which a report does not mention it, in requests per second. */
    private static final double NEGLIGIBLE_PER_SECOND = 0.5;

    private final TokenStock stock = new TokenStock();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private double perSecond;
    private long measuredAt;
    private long deniedUntil;
    private long retryMillis;
    private long mintedUntil;
    private long admitted;
    private long refused;

    private record Waiting(long id, long since) {}

    TenantAccount(long since) {
        measuredAt = since;
        deniedUntil = since;
        mintedUntil = since;
    }

    /** Counts a request. */
    void onRequest(long now) {
        perSecond = perSecond(now) + NANOS_PER_SECOND / DEMAND_NANOS;
        measuredAt = now;
    }

    double perSecond(long now) {
        return perSecond * Math.exp((measuredAt - now) / DEMAND_NANOS);
    }

    TokenStock stock() {
        return stock;
    }

    /** Takes a token for a request, if there is one, and returns until when it is valid. */
    Optional<Long> takeOne(long now) {
        Optional<Long> expiresAt = stock.takeOne(now);
        admitted += expiresAt.isPresent() ? 1 : 0;
        return expiresAt;
    }

    /** Refuses a request at once, and returns when there will be a token, as the bank has told, in milliseconds. */
    long refuse() {
        refused++;
        return retryMillis;
    }

    CapUsage usage(long now) {
        return new CapUsage(stock.total(now), admitted, refused);
    }

    /** Adds the tokens that the node has minted itself since a time. */
    void mint(Cap cap, long ownSince, int members, long now) {
        long begin = Math.max(Math.max(ownSince, mintedUntil), now - cap.lifeNanos());
        if (now > begin) {
            stock.add(cap.minted(now - begin, 1.0 / members), begin + cap.lifeNanos());
            mintedUntil = now;
        }
    }

    /** Returns whether the bank has told a moment ago that there is no token. */
    boolean isDenied(long now) {
        return now < deniedUntil;
    }

    void await(long id, long now) {
        waiting.add(new Waiting(id, now));
    }

    void forget(long id) {
        waiting.removeIf(request -> request.id() == id);
    }

    boolean isAwaited() {
        return !waiting.isEmpty();
    }

    /** Returns how many tokens to ask for, for requests that are expected. */
    private long advance(long now) {
        // A single request measures like a demand for a moment, and mostly no other one follows.
        double lasting = perSecond(now) - NANOS_PER_SECOND / DEMAND_NANOS;
        double expected = lasting * ADVANCE_SECONDS - stock.total(now);
        return Math.max(0, Math.round(expected));
    }

    /** Returns the demand for a report. */
    CapReport.Demand demand(String tenant, long now) {
        return new CapReport.Demand(tenant, waiting.size(), advance(now), perSecond(now));
    }

    boolean isLow(long now) {
        return stock.total(now) < perSecond(now) * ADVANCE_SECONDS * LOW_RATIO && advance(now) > 0;
    }

    /** Returns whether a report should mention the tenant. */
    boolean isReported(long now) {
        return perSecond(now) >= NEGLIGIBLE_PER_SECOND || isAwaited();
    }

    /** Adds granted tokens and gives them to the requests that wait; refuses those if there are no more for now. */
    void onGrant(CapGrant.Tokens tokens, long sentAt, long now, Effects effects) {
        if (tokens.amount() > 0) {
            stock.add(tokens.amount(), sentAt + Timing.millisToNanos(tokens.lifeMillis()));
        }
        admitWaiting(now, effects);
        if (tokens.retryMillis() > 0 && stock.total(now) < 1) {
            deniedUntil = now + Math.min(MAX_DENIED_NANOS, Timing.millisToNanos(tokens.retryMillis()));
            retryMillis = tokens.retryMillis();
            refuseWaiting(Long.MAX_VALUE, tokens.retryMillis(), effects);
        }
    }

    /** Gives the tokens that there are to the requests that wait. */
    void admitWaiting(long now, Effects effects) {
        while (!waiting.isEmpty() && stock.total(now) >= 1) {
            effects.emit(new CapEffect.Admit(waiting.poll().id(), takeOne(now).orElseThrow()));
        }
    }

    /** Lets all requests that wait go on, because the tenant has no cap any more. */
    void admitAll(Effects effects) {
        waiting.forEach(request -> effects.emit(new CapEffect.Admit(request.id(), 0)));
        waiting.clear();
    }

    /** Refuses the requests that wait since a time or longer. */
    void refuseWaiting(long since, long retryMillis, Effects effects) {
        Iterator<Waiting> each = waiting.iterator();
        while (each.hasNext()) {
            Waiting request = each.next();
            if (request.since() <= since) {
                each.remove();
                refused++;
                effects.emit(new CapEffect.Refuse(request.id(), retryMillis));
            }
        }
    }
}
