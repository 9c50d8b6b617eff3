package org.verbenamast.core.tenant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Deadlines;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.manifest.Tenant;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;

/**
 * Keeps the caps of tenants over all nodes. Each request of a tenant with a rate takes a token. Every node has an equal
 * share of each cap by right; it cedes it for a short term to the bank, a member that all nodes choose alike, which
 * grants tokens to the nodes that get requests. A node that no bank answers spends its own share alone.
 */
public final class CapController {

    /** The vocabulary of chart {@code cap-share}. */
    public static final Vocabulary<ShareEvent, ShareGuard, ShareAction, ShareTimer, ShareTag> VOCABULARY =
            new Vocabulary<>(ShareEvent.class, ShareGuard.class, ShareAction.class, ShareTimer.class, ShareTag.class);

    private static final String KEY = "caps";

    /** Interval of reports to the bank, in nanoseconds. */
    private static final long REPORT_INTERVAL_NANOS = Timing.millisToNanos(400);
    /** Shortest interval of reports while requests wait, in nanoseconds; it bounds the messages under any load. */
    private static final long MIN_ASK_INTERVAL_NANOS = Timing.millisToNanos(20);
    /** Shortest interval of reports while tokens get few, in nanoseconds. */
    private static final long MIN_ADVANCE_INTERVAL_NANOS = Timing.millisToNanos(100);
    /** Time after which a report counts as unanswered, so that requests may be asked for again, in nanoseconds. */
    private static final long ANSWER_TIMEOUT_NANOS = Timing.millisToNanos(200);
    /** Longest time that a request waits for a token, in nanoseconds: until another bank is chosen and has answered. */
    private static final long MAX_WAIT_NANOS = Timing.millisToNanos(1_000);
    /** Time after which a refused caller may retry if no bank has told when there is a token, in milliseconds. */
    private static final long RETRY_MILLIS = 300;
    /** Time after which a bank that has not learnt of a new manifest is replaced, in nanoseconds. */
    private static final long USUAL_LAG_NANOS = Timing.millisToNanos(1_000);
    /** Time after which its grants are not accepted, in nanoseconds; what the platform allows for all nodes. */
    private static final long MAX_LAG_NANOS = Timing.millisToNanos(2_500);
    /** Reports that may be without an answer at once; an answer to an earlier one comes too late. */
    private static final int MAX_UNANSWERED = 8;

    private final String node;
    private final Roster roster;
    private final CapBounds bounds;
    private final CapBank bank;
    private final BankChoice choice;
    private final ChartInstances<String, ShareEvent, ShareData, ShareInput> share;
    private final Map<String, TenantAccount> accounts = new HashMap<>();
    /** The accounts with requests that wait. */
    private final Set<TenantAccount> awaited = new LinkedHashSet<>();
    /** When the last reports were sent, by number, of those that have no answer. */
    private final Map<Long, Long> unanswered = new LinkedHashMap<>();

    private Map<String, Cap> caps = Map.of();
    private long manifestVersion;
    private long manifestSince;
    private long lastNumber;
    private long sentAt;
    private long nextReportAt;
    private long rejectedGrants;

    /**
     * Creates a controller that knows no caps.
     *
     * @param node the name of this node
     * @param incarnation the incarnation of this node
     * @param startedAt the monotonic time when the node started, in nanoseconds
     * @param roster the members
     * @param bounds how exactly caps are to be kept
     * @param random a source of numbers that are evenly distributed from 0 (inclusive) to 1 (exclusive)
     * @param listener notified of each transition
     */
    public CapController(
            String node,
            long incarnation,
            long startedAt,
            Roster roster,
            CapBounds bounds,
            DoubleSupplier random,
            TransitionListener listener) {
        this.node = Objects.requireNonNull(node, "node");
        this.roster = Objects.requireNonNull(roster, "roster");
        this.bounds = Objects.requireNonNull(bounds, "bounds");
        this.bank = new CapBank(node, incarnation, random);
        this.choice = new BankChoice(roster);
        this.share =
                new ChartInstances<>(ChartReader.bundled("cap-share", VOCABULARY), event -> ShareInput.NONE, listener);
        share.begin(KEY, ShareData.atStart(startedAt), startedAt);
    }

    /**
     * Applies the caps of a manifest that has come into force.
     *
     * @param manifest the manifest
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onManifest(Manifest manifest, long now, Effects effects) {
        Map<String, Cap> next = new HashMap<>();
        manifest.tenants().stream()
                .filter(Tenant::isLimited)
                .forEach(tenant -> next.put(tenant.name(), Cap.of(tenant, bounds)));
        accounts.entrySet().removeIf(entry -> {
            Cap cap = next.get(entry.getKey());
            if (cap == null) {
                entry.getValue().admitAll(effects);
                return true;
            }
            if (cap.mostTokens() < caps.get(entry.getKey()).mostTokens()) {
                entry.getValue().stock().clear();
            }
            return false;
        });
        if (caps.isEmpty()) {
            nextReportAt = now;
        }
        bank.onCaps(manifest.version(), next);
        caps = next;
        manifestVersion = manifest.version();
        manifestSince = now;
    }

    /**
     * Decides whether a request lies within the cap of its tenant. Called once for each request of a caller.
     *
     * @param id the number under which this node keeps the request
     * @param tenant the tenant
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     * @return the decision; an effect follows later if it is to wait
     */
    public CapDecision admit(long id, Tenant tenant, long now, Effects effects) {
        Cap cap = caps.get(tenant.name());
        if (cap == null) {
            return CapDecision.UNLIMITED;
        }
        TenantAccount account = accounts.computeIfAbsent(tenant.name(), name -> new TenantAccount(manifestSince));
        account.onRequest(now);
        mint(tenant.name(), account, now);
        if (!account.isAwaited() && account.stock().total(now) >= 1) {
            long expiresAt = account.takeOne(now).orElseThrow();
            if (account.isLow(now)) {
                reportFrom(sentAt + MIN_ADVANCE_INTERVAL_NANOS, now, effects);
            }
            return CapDecision.admitted(expiresAt);
        }
        if (account.isDenied(now)) {
            return CapDecision.refused(account.refuse());
        }
        account.await(id, now);
        awaited.add(account);
        askForWaiting(now, effects);
        return CapDecision.HELD;
    }

    private void askForWaiting(long now, Effects effects) {
        boolean answerPending = unanswered.containsKey(lastNumber);
        long earliest = answerPending ? sentAt + ANSWER_TIMEOUT_NANOS : sentAt + MIN_ASK_INTERVAL_NANOS;
        reportFrom(earliest, now, effects);
    }

    /** Sends a report at a time, or at once if it has passed. */
    private void reportFrom(long at, long now, Effects effects) {
        nextReportAt = Math.min(nextReportAt, at);
        if (now >= nextReportAt) {
            report(now, effects);
        }
    }

    private void mint(String tenant, TenantAccount account, long now) {
        if (share.find(KEY).hasTag(ShareTag.MINTS)) {
            account.mint(caps.get(tenant), share.find(KEY).data().ownSince(), members(), now);
        }
    }

    private int members() {
        int known = roster.members().size();
        return roster.find(node).isPresent() ? known : known + 1;
    }

    private void report(long now, Effects effects) {
        nextReportAt = now + REPORT_INTERVAL_NANOS;
        if (roster.find(node).isEmpty()) {
            // The bank could not answer, as it finds the address of a node in its row.
            return;
        }
        List<CapReport.Demand> demands = new ArrayList<>();
        accounts.forEach((tenant, account) -> {
            mint(tenant, account, now);
            if (account.isReported(now)) {
                demands.add(account.demand(tenant, now));
            }
        });
        choice.toProbe(now)
                .ifPresent(silent -> effects.emit(new CapEffect.SendReport(silent, numbered(List.of(), now))));
        Optional<Member> chosen = choice.choose(now);
        CapReport report = numbered(demands, now);
        Optional<Member> former = formerBank(chosen, now);
        if (former.isPresent()) {
            // Until its term is over, the former bank has the tokens, and the next one none.
            effects.emit(new CapEffect.SendReport(former.get(), report));
            report = numbered(List.of(), now);
        }
        sentAt = now;
        share.fire(KEY, ShareEvent.REPORT_DUE, ShareInput.report(chosen, report), now, effects);
    }

    /** Returns the bank that this node has left while it works, and that mints the node's share for a little longer. */
    private Optional<Member> formerBank(Optional<Member> chosen, long now) {
        ShareData data = share.find(KEY).data();
        boolean left = !data.cededTo().isEmpty()
                && now < data.cededUntil()
                && chosen.filter(member -> member.node().equals(data.cededTo())).isEmpty();
        return left && choice.answers(data.cededTo()) ? roster.find(data.cededTo()) : Optional.empty();
    }

    private CapReport numbered(List<CapReport.Demand> demands, long now) {
        unanswered.put(++lastNumber, now);
        unanswered.remove(lastNumber - MAX_UNANSWERED);
        return new CapReport(node, lastNumber, manifestVersion, members(), CapStamp.NONE, 0, demands);
    }

    /**
     * Handles a report to this node as the bank.
     *
     * @param report the report
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onReport(CapReport report, long now, Effects effects) {
        roster.find(report.node())
                .ifPresent(member -> effects.emit(new CapEffect.SendGrant(member, bank.onReport(report, now))));
    }

    /**
     * Handles the answer of a bank. One that is very late, or under caps that are no longer in force, is ignored; its
     * tokens expire.
     *
     * @param grant the answer
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onGrant(CapGrant grant, long now, Effects effects) {
        Long askedAt = unanswered.remove(grant.number());
        long lagNanos = grant.manifestVersion() < manifestVersion ? now - manifestSince : 0;
        if (askedAt == null || lagNanos > MAX_LAG_NANOS) {
            rejectedGrants += askedAt == null ? 0 : 1;
            return;
        }
        if (lagNanos > USUAL_LAG_NANOS) {
            choice.onOutdated(grant.bank(), now);
        } else {
            choice.onAnswered(grant.bank());
        }
        if (choice.isChosen(grant.bank())) {
            share.fire(KEY, ShareEvent.ANSWERED, ShareInput.answer(grant), now, effects);
        }
        for (CapGrant.Tokens tokens : grant.tenants()) {
            accept(tokens, askedAt, now, effects);
        }
        awaited.removeIf(account -> !account.isAwaited());
        if (!awaited.isEmpty()) {
            boolean settling = grant.tenants().stream().anyMatch(CapGrant.Tokens::isUndecided);
            reportFrom(sentAt + (settling ? MIN_ADVANCE_INTERVAL_NANOS : MIN_ASK_INTERVAL_NANOS), now, effects);
        }
    }

    private void accept(CapGrant.Tokens tokens, long askedAt, long now, Effects effects) {
        TenantAccount account = accounts.get(tokens.tenant());
        if (account == null) {
            return;
        }
        Cap cap = caps.get(tokens.tenant());
        if (tokens.amount() > cap.mostTokens() + 1 || Timing.millisToNanos(tokens.lifeMillis()) > cap.lifeNanos()) {
            rejectedGrants++;
            return;
        }
        account.onGrant(tokens, askedAt, now, effects);
    }

    /**
     * Returns the token of a request that was refused and has not run.
     *
     * @param tenant the name of the tenant
     * @param tokenExpiresAt until when the token is valid, in nanoseconds; 0 for none
     * @param now the monotonic time, in nanoseconds
     */
    public void giveBack(String tenant, long tokenExpiresAt, long now) {
        TenantAccount account = accounts.get(tenant);
        if (account != null && tokenExpiresAt > now) {
            account.stock().add(1, tokenExpiresAt);
        }
    }

    /**
     * Counts that a request is sent to another server after one may have run it.
     *
     * @param tenant the name of the tenant
     * @param now the monotonic time, in nanoseconds
     */
    public void charge(String tenant, long now) {
        TenantAccount account = accounts.get(tenant);
        if (account != null) {
            account.stock().takeOrOwe(now);
        }
    }

    /**
     * Forgets a request that waits for a token, because its caller is gone.
     *
     * @param id the request's number
     */
    public void forget(long id) {
        awaited.forEach(account -> account.forget(id));
    }

    /**
     * Sends the report that is due and refuses the requests that have waited for too long.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        if (caps.isEmpty()) {
            return;
        }
        boolean minted = share.find(KEY).hasTag(ShareTag.MINTS);
        share.advance(now, effects);
        boolean termOver = !minted && share.find(KEY).hasTag(ShareTag.MINTS);
        if (termOver || now >= nextReportAt) {
            report(now, effects);
        }
        for (TenantAccount account : awaited) {
            account.admitWaiting(now, effects);
            account.refuseWaiting(now - MAX_WAIT_NANOS, RETRY_MILLIS, effects);
        }
        awaited.removeIf(account -> !account.isAwaited());
    }

    /**
     * Returns when the next report is due.
     *
     * @return the monotonic time in nanoseconds, or {@link Deadlines#NOT_ARMED} without caps
     */
    public long nextDue() {
        return caps.isEmpty() ? Deadlines.NOT_ARMED : Math.min(nextReportAt, share.nextDue());
    }

    /**
     * Returns what this node holds and has used of the caps, for operators.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the status
     */
    public CapStatus status(long now) {
        Map<String, CapUsage> usage = new TreeMap<>();
        accounts.forEach((tenant, account) -> usage.put(tenant, account.usage(now)));
        return new CapStatus(!caps.isEmpty(), bank.cedingNodes(now), rejectedGrants, usage);
    }
}
