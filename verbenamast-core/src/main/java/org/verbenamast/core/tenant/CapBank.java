package org.verbenamast.core.tenant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

import org.verbenamast.core.node.Timing;

/**
 * A node's part as the bank: it mints tokens for the shares that nodes have ceded to it, and grants them to the nodes
 * that get requests. It can mint no share that its node has not given up for the time, so that several banks at once,
 * as with nodes that see different members, grant no more than one.
 */
final class CapBank {

    /** Time for which demand is granted in advance while there are enough tokens, in seconds. */
    private static final double ADVANCE_SECONDS = 0.6;
    /** Time after which the demand that a node reported counts by a third, in nanoseconds. */
    private static final double DEMAND_NANOS = 0.5e9;
    /** Time after which it is forgotten, in nanoseconds. */
    private static final long DEMAND_KEPT_NANOS = Timing.millisToNanos(3_000);
    /** Longest time whose tokens expire together, as a part of their life. */
    private static final int SLICES = 8;

    /** Shortest time for which a token has to be valid to reach the node that waits for it, in nanoseconds. */
    private static final long ARRIVAL_NANOS = Timing.millisToNanos(150);

    /** Time over which the ceded shares show whether the nodes have settled on this bank, in nanoseconds. */
    private static final long SETTLING_NANOS = Timing.millisToNanos(500);
    /** Part of all shares that is ceded to the only bank of a fleet of which a few nodes are away. */
    private static final double SETTLED_SHARE = 0.4;

    private static final long MIN_RETRY_MILLIS = 50;
    private static final long MAX_RETRY_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final String node;
    private final long incarnation;
    private final DoubleSupplier random;
    private final Map<String, Account> accounts = new HashMap<>();
    private CessionLedger ledger;
    private Map<String, Cap> caps = Map.of();
    private long manifestVersion;

    private record ReportedDemand(double perSecond, long at) {

        double now(long now) {
            return perSecond * Math.exp((at - now) / DEMAND_NANOS);
        }
    }

    /** The tokens of a tenant that the bank has minted, and the demand for them. */
    private static final class Account {

        private final TokenStock stock = new TokenStock();
        private final Map<String, ReportedDemand> demands = new HashMap<>();
        private long mintedUntil;

        private Account(long mintedUntil) {
            this.mintedUntil = mintedUntil;
        }

        /** Records the demand at a node and returns that at all nodes. */
        private double recordDemand(String node, double perSecond, long now) {
            demands.put(node, new ReportedDemand(perSecond, now));
            demands.values().removeIf(known -> now - known.at() > DEMAND_KEPT_NANOS);
            double all = 0;
            for (ReportedDemand known : demands.values()) {
                all += known.now(now);
            }
            return all;
        }
    }

    CapBank(String node, long incarnation, DoubleSupplier random) {
        this.node = Objects.requireNonNull(node, "node");
        this.incarnation = incarnation;
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Applies the caps of a manifest. Tokens of a cap that is lower now are dropped. */
    void onCaps(long version, Map<String, Cap> next) {
        accounts.keySet().retainAll(next.keySet());
        accounts.forEach((tenant, account) -> {
            if (next.get(tenant).mostTokens() < caps.get(tenant).mostTokens()) {
                account.stock.clear();
            }
        });
        caps = Map.copyOf(next);
        manifestVersion = version;
    }

    /** Returns the number of nodes that have ceded their share. */
    long cedingNodes(long now) {
        return ledger == null ? 0 : ledger.nodes(now);
    }

    /** Records the share that a node cedes and returns its tokens. */
    CapGrant onReport(CapReport report, long now) {
        if (ledger == null) {
            ledger = new CessionLedger(now);
        }
        if (report.echo().incarnation() == incarnation && report.echo().at() <= now) {
            long until = report.echo().at() + Timing.millisToNanos(report.echoAgeMillis()) + ShareTimer.TERM_NANOS;
            ledger.cede(report.node(), report.members(), Math.min(until, now + ShareTimer.TERM_NANOS), now);
        }
        ledger.advance(now);
        List<CapGrant.Tokens> tokens = new ArrayList<>();
        for (CapReport.Demand demand : report.demands()) {
            if (caps.containsKey(demand.tenant())) {
                grant(report.node(), demand, now, tokens::add);
            }
        }
        return new CapGrant(node, report.number(), manifestVersion, new CapStamp(incarnation, now), tokens);
    }

    private void grant(String asking, CapReport.Demand demand, long now, Consumer<CapGrant.Tokens> tokens) {
        Cap cap = caps.get(demand.tenant());
        Account account = accounts.computeIfAbsent(demand.tenant(), name -> new Account(now - cap.lifeNanos()));
        mint(account, cap, now);
        double allPerSecond = account.recordDemand(asking, demand.perSecond(), now);
        double share = allPerSecond > 0 ? demand.perSecond() / allPerSecond : 1;
        long validAfter = now + ARRIVAL_NANOS;
        double available = account.stock.validAfter(validAfter);
        boolean enough = available >= allPerSecond * ADVANCE_SECONDS + demand.waiting();
        long offered = enough ? demand.waiting() : Math.max(1, (long) (available * share + random.getAsDouble()));
        long granted = Math.min(demand.waiting(), Math.min(offered, (long) available));
        boolean settled = ledger.ceded(now - SETTLING_NANOS, now) > SETTLED_SHARE * SETTLING_NANOS;
        long retryMillis = settled && granted < demand.waiting() ? retryMillis(cap.mintPerSecond() * share) : 0;
        if (demand.waiting() > 0) {
            tokens.accept(granted(demand, account.stock.takeOldest(granted, validAfter), retryMillis, now));
        }
        double left = account.stock.total(now) - (enough ? 0 : granted);
        long advance = Math.min(demand.advance(), (long) (enough ? left : left * share));
        if (advance > 0 && retryMillis == 0) {
            tokens.accept(granted(demand, account.stock.takeYoungest(advance), 0, now));
        }
    }

    private static CapGrant.Tokens granted(
            CapReport.Demand demand, TokenStock.Taken taken, long retryMillis, long now) {
        long lifeMillis = taken.amount() > 0 ? Math.max(0, (taken.expiresAt() - now) / Timing.NANOS_PER_MILLI) : 0;
        return new CapGrant.Tokens(demand.tenant(), (long) taken.amount(), lifeMillis, retryMillis);
    }

    private static long retryMillis(double tokensPerSecond) {
        double millis = MILLIS_PER_SECOND / tokensPerSecond;
        return (long) Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, millis));
    }

    /** Mints the tokens of the time since the last call, in slices, whose tokens expire as early as their oldest. */
    private void mint(Account account, Cap cap, long now) {
        long end = ledger.knownUntil();
        long sliceNanos = Math.max(1, cap.lifeNanos() / SLICES);
        long begin = Math.max(account.mintedUntil, now - cap.lifeNanos());
        while (begin < end) {
            long sliceEnd = Math.min(end, begin + sliceNanos);
            double amount = cap.minted(ledger.ceded(begin, sliceEnd), 1);
            if (amount > 0) {
                account.stock.add(amount, begin + cap.lifeNanos());
            }
            begin = sliceEnd;
        }
        account.mintedUntil = Math.max(account.mintedUntil, end);
    }
}
