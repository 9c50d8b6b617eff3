package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import java.util.function.Predicate;

import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.check.Checks;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.RowChange;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowReplica;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.RowWriter;
import org.verbenamast.core.rows.StorePurpose;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.StoreEras;

/**
 * Controls the keys of the service beside this node: which keys its server is granted, which keys it releases and, if
 * this node is the planner, which keys move. No single node is required for planning: the planner is the first
 * reachable node by name. If two nodes plan at the same time, the version of the map's row decides which change takes
 * effect.
 */
public final class KeyController {

    /** Time between reviews, in nanoseconds; short compared with the seconds for which keys stay hot. */
    private static final long REVIEW_INTERVAL_NANOS = Timing.millisToNanos(250);
    /** Minimum grant duration, in milliseconds; a shorter grant would expire before the next heartbeat. */
    private static final long MIN_GRANT_MILLIS = 300;

    /** Time after the last grant of a silent server has expired until the server counts as ended, in nanoseconds. */
    private static final long GRANT_END_SLACK_NANOS = Timing.millisToNanos(100);

    private final String node;
    private final String service;
    private final KeyLeaseTimings timings;
    private final KeyHosts hosts;
    private final RowReplica replica;
    private final KeyLeaseController keyLease;
    private final RowWriter mapWriter;
    private final LeaseWatchController leaseWatch;
    private final KeyDemand demand;
    private final KeyPlanner planner;
    private final EraPassage passage;
    private final long startedAt;
    private KeyGrantLedger grants;
    private Heartbeat lastHeartbeat;
    private long lastHeartbeatAt;
    private boolean cold;
    private long nextReview;
    private long maxGrantMillis = Long.MAX_VALUE;

    /**
     * Creates the controller of a node that has just started.
     *
     * @param self the identity and settings of this node
     * @param roster the members of all services
     * @param replica the rows that this node knows
     * @param reachable whether this node reaches a member
     * @param membersAsOf returns, at a monotonic time, the time as of which all members are known; both in nanoseconds
     * @param eras what this node knows of the store's era
     * @param listener notified of each transition
     */
    public KeyController(
            KeyControllerSettings self,
            Roster roster,
            RowReplica replica,
            Predicate<Member> reachable,
            LongUnaryOperator membersAsOf,
            StoreEras eras,
            TransitionListener listener) {
        this.node = self.node();
        this.service = self.service();
        this.timings = self.timings();
        this.startedAt = self.startedAt();
        this.demand = new KeyDemand(service);
        this.hosts = new KeyHosts(node, service, roster, reachable);
        this.planner = new KeyPlanner(hosts, demand, membersAsOf);
        this.replica = Objects.requireNonNull(replica, "replica");
        this.keyLease = new KeyLeaseController(timings, service, self.nodeIncarnation(), listener);
        this.mapWriter = new RowWriter(StorePurpose.KEY_MAP, replica, this::requiredChanges, listener);
        this.leaseWatch = new LeaseWatchController(timings.leaseMillis(), listener);
        this.passage = new EraPassage(eras, planner);
    }

    /**
     * Limits the duration of grants from now on. For grants of an earlier incarnation of this node, the controller
     * assumes the grant duration of {@link KeyLeaseTimings}, which a limit can only shorten.
     *
     * @param millis the maximum grant duration, in milliseconds
     */
    public void limitGrantDuration(long millis) {
        maxGrantMillis = Checks.positive("millis", millis);
    }

    private RowRef mapRow() {
        return new RowRef(RowTable.KEYS, service);
    }

    private KeyMap map() {
        return KeyMap.of(replica.find(mapRow()));
    }

    /**
     * Returns whether keys of the service have been assigned, which shows that it is keyed.
     *
     * @return whether a key map with owners is known
     */
    public boolean hasOwners() {
        return !map().owners().isEmpty();
    }

    /**
     * Handles a heartbeat of the server beside this node.
     *
     * @param heartbeat the heartbeat
     * @param now the monotonic time at which it was received, in nanoseconds
     * @param effects receives the effects
     * @return the keys granted to the server; empty if nothing can be granted now
     */
    public Optional<KeyGrant> onHeartbeat(Heartbeat heartbeat, long now, Effects effects) {
        if (grants == null || !grants.incarnation().equals(heartbeat.incarnation())) {
            startGrants(heartbeat.incarnation(), now, effects);
        }
        lastHeartbeat = heartbeat;
        lastHeartbeatAt = now;
        cold = heartbeat.coldMillis() > 0;
        grants.recordFreed(heartbeat.freed());
        Optional<KeyGrant> grant = grantKeys(now, effects);
        mapWriter.review(now, effects);
        return grant;
    }

    private void startGrants(ServerIncarnation incarnation, long now, Effects effects) {
        if (grants != null) {
            hosts.recordEnd(grants.incarnation());
        }
        hosts.recordPresence(incarnation);
        long earlierGrantsUntil = now < startedAt + Timing.millisToNanos(timings.leaseMillis())
                ? startedAt + Timing.millisToNanos(KeyLeaseTimings.plusDrift(timings.grantMillis()))
                : now;
        grants = new KeyGrantLedger(incarnation, earlierGrantsUntil);
        keyLease.onServerKnown(incarnation, now, effects);
    }

    private Optional<KeyGrant> grantKeys(long now, Effects effects) {
        long grantMillis = Math.min(keyLease.grantMillis(now), maxGrantMillis);
        KeyMap map = map();
        passage.recordLease(map, keyLease.leaseNanos(now));
        if (grantMillis < MIN_GRANT_MILLIS || !passage.mayGrant(map)) {
            return Optional.empty();
        }
        grants.revoke(map);
        List<GrantedKeys> keys = passage.isSettled(map) ? grants.grantsFrom(map) : grants.renewalsFrom(map);
        grants.recordGrant(keys, grantMillis, now, effects);
        return Optional.of(new KeyGrant(keys, grantMillis));
    }

    /**
     * Handles the end of a server incarnation beside this node, which can therefore no longer hold keys.
     *
     * @param incarnation the server incarnation
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onServerEnded(ServerIncarnation incarnation, long now, Effects effects) {
        hosts.recordEnd(incarnation);
        hosts.retainKnown(map());
        if (grants != null && grants.incarnation().equals(incarnation)) {
            grants = null;
            keyLease.onServerGone(now, effects);
        }
        nextReview = now;
    }

    /**
     * Returns whether a key is granted to the server beside this node.
     *
     * @param key the key
     * @param now the monotonic time, in nanoseconds
     * @return whether the key was granted and the grant may still be valid
     */
    public boolean isGranted(int key, long now) {
        return grants != null && grants.isGranted(key, now);
    }

    /**
     * Returns whether the next heartbeat of the server beside this node is going to be answered with a key.
     *
     * @param key the key
     * @param now the monotonic time, in nanoseconds
     * @return whether the server owns the key, it is not moving away, and this node may grant keys
     */
    public boolean isExpected(int key, long now) {
        return grants != null
                && keyLease.grantMillis(now) >= MIN_GRANT_MILLIS
                && passage.mayGrant(map())
                && grants.isToBeGranted(key, map());
    }

    /**
     * Records a request for a key, for the next load report.
     *
     * @param key the key
     */
    public void recordRequest(int key) {
        demand.recordRequest(key);
    }

    /**
     * Clears the key lease until the store confirms it again, because the process may have been suspended.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onSuspended(long now, Effects effects) {
        keyLease.onSuspended(now, effects);
    }

    /**
     * Handles a load report of this or another node; ignores reports of other services.
     *
     * @param report the report
     * @param now the monotonic time, in nanoseconds
     */
    public void onLoadReport(KeyLoadReport report, long now) {
        demand.onLoadReport(report, now);
    }

    /**
     * Handles the result of a call to the store.
     *
     * @param purpose the purpose of the call, which identifies the component that made it
     * @param callId the number of the call
     * @param result the result of the call
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onStoreResult(StorePurpose purpose, long callId, StoreResult result, long now, Effects effects) {
        passage.recordLease(map(), keyLease.leaseNanos(now));
        if (result instanceof StoreResult.Conflicted conflicted) {
            conflicted.rows().stream()
                    .filter(row -> row.ref().table() == RowTable.LEASES)
                    .forEach(row -> leaseWatch.onLeaseRow(row, now, effects));
        }
        if (result instanceof StoreResult.Read read) {
            replica.apply(read.rows().stream()
                    .filter(row -> row.ref().table() == RowTable.KEYS)
                    .toList());
        }
        switch (purpose) {
            case TENURE -> keyLease.onStoreResult(callId, result, now, effects);
            case LEASE_WATCH -> leaseWatch.onStoreResult(callId, result, now, effects);
            default -> mapWriter.onStoreResult(callId, result, now, effects);
        }
        mapWriter.review(now, effects);
    }

    /**
     * Handles everything that is due: timers, grants and leases that expire, and, once per review interval, leases to
     * watch and keys to move.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        if (grants != null) {
            grants.settle(now);
        }
        passage.recordLease(map(), keyLease.leaseNanos(now));
        keyLease.advance(now, effects);
        leaseWatch.advance(now, effects);
        mapWriter.advance(now, effects);
        if (grants != null
                && now > grants.grantedUntil() + GRANT_END_SLACK_NANOS
                && now > lastHeartbeatAt + Timing.millisToNanos(timings.grantMillis())) {
            onServerEnded(grants.incarnation(), now, effects);
        }
        if (now < nextReview) {
            return;
        }
        nextReview = now + REVIEW_INTERVAL_NANOS;
        watchSuspectLeases(now, effects);
        mapWriter.review(now, effects);
    }

    /**
     * Sends the planner a report of the requests recorded since the last report; applies it at once if this node plans.
     *
     * @param serviceMillis the recent service time of a request, for which it occupies a slot of the server, in
     *     milliseconds
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void reportLoad(int serviceMillis, long now, Effects effects) {
        if (grants == null || lastHeartbeat == null) {
            return;
        }
        KeyLoadReport report = demand.takeReport(grants.incarnation(), lastHeartbeat.slots(), serviceMillis, cold);
        hosts.planner(now)
                .filter(member -> !member.node().equals(node))
                .ifPresentOrElse(
                        member -> effects.emit(new KeyEffect.SendLoadReport(member, report)),
                        () -> onLoadReport(report, now));
    }

    /**
     * Watches the leases for owners that have ended beside this node or, if this node is the planner, that are lost.
     */
    private void watchSuspectLeases(long now, Effects effects) {
        if (passage.isNewEra()) {
            leaseWatch.retain(Set.of());
        }
        boolean mayPlan = passage.mayPlan(map(), now);
        boolean isPlanner = hosts.isPlanner(now);
        Set<ServerIncarnation> watched = new HashSet<>();
        for (ServerIncarnation owner : map().owners()) {
            boolean suspect = mayPlan && (hosts.hasEnded(owner) || isPlanner && hosts.isLost(owner, now));
            if (suspect) {
                watched.add(owner);
                leaseWatch.watch(owner, hosts.hasEnded(owner), now, effects);
            }
        }
        leaseWatch.retain(watched);
        hosts.retainKnown(map());
    }

    /**
     * Returns the row changes that bring the key map to the required state; empty if there are none, and while the row
     * is unreadable, since the fencing tokens given out are then unknown here.
     */
    private List<RowChange> requiredChanges(long now) {
        StoredRow row = replica.find(mapRow());
        if (row.isUnreadable()) {
            return List.of();
        }
        KeyMap before = map();
        if (!passage.mayPlan(before, now)) {
            boolean restores = replica.isLost(mapRow()) && passage.mayRestore(now);
            return restores ? List.of(mapChange(before)) : List.of();
        }
        List<RowChange> changes = new ArrayList<>();
        KeyMap settled = passage.settled(before);
        KeyMap after = settled;
        if (grants != null) {
            grants.revoke(before);
            after = grants.release(after, now);
        }
        for (ServerIncarnation owner : before.owners()) {
            Optional<RowChange> lapsed = leaseWatch.deletionIfLapsed(owner);
            if (lapsed.isPresent()) {
                changes.add(lapsed.get());
                after = after.vacate(owner);
            }
        }
        after = planner.plan(after, now);
        if (after.equals(before) || before.isVacant() && after.equals(settled)) {
            return List.of();
        }
        changes.add(0, mapChange(after));
        return changes;
    }

    private RowChange mapChange(KeyMap map) {
        return new RowChange(mapRow(), replica.expectedVersion(mapRow()), Optional.of(map));
    }

    /**
     * Returns what this node owns and may grant, for the metrics page.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the status
     */
    public KeyStatus status(long now) {
        return KeyStatus.of(map(), Optional.ofNullable(grants), keyLease.leaseNanos(now), now);
    }

    /**
     * Returns when {@link #advance} has to be called next.
     *
     * @return the due time, as monotonic time in nanoseconds
     */
    public long nextDue() {
        long due = Math.min(keyLease.nextDue(), Math.min(leaseWatch.nextDue(), mapWriter.nextDue()));
        return Math.min(Math.min(due, nextReview), grants == null ? Long.MAX_VALUE : grants.settlesAt());
    }
}
