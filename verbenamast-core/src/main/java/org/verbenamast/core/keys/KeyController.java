package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
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

/**
 * The keys of the service beside this node: what its server is granted, what it gives back, and, where this node is the
 * one to plan, which keys move. No node is needed for the others to go on: whichever reachable node comes first by name
 * plans, and the version of the map's row decides where two do.
 */
public final class KeyController {

    /** Time between reviews, in nanoseconds; a small part of the seconds for which keys stay hot. */
    private static final long REVIEW_EVERY = Timing.millisToNanos(250);
    /** Time between plans that move keys of healthy servers, in nanoseconds; one heartbeat, so that moves can end. */
    private static final long BALANCE_EVERY = Timing.millisToNanos(1_000);
    /** Calm after a member has joined before keys are dealt for the first time, in nanoseconds. */
    private static final long FIRST_DEAL_CALM = Timing.millisToNanos(1_500);
    /** Shortest hold that is granted, in milliseconds; a shorter one would end before the next heartbeat. */
    private static final long MIN_HOLD_MILLIS = 300;

    /** Time added to the end of a hold before its keys are given to others, in nanoseconds. */
    private static final long HOLD_SLACK = Timing.millisToNanos(100);

    private final String node;
    private final String service;
    private final KeyLeaseTimings terms;
    private final KeyHosts hosts;
    private final RowReplica replica;
    private final KeyLeaseController tenure;
    private final RowWriter writer;
    private final LeaseWatchController watch;
    private final KeyLoad heat = new KeyLoad();
    private final KeyCapacity capacity = new KeyCapacity();
    private final List<Integer> seenKeys = new ArrayList<>();
    private final Set<ServerIncarnation> endedHere = new HashSet<>();
    private final long startedAt;
    private KeyGrantLedger book;
    private Heartbeat lastBeat;
    private long lastBeatAt;
    private boolean cold;
    private long nextReview;
    private long nextBalance;
    private long calmSince;
    private int knownMembers;
    private long longestHoldMillis = Long.MAX_VALUE;

    /**
     * Makes the desk of a node that has just started.
     *
     * @param self who this node is and what it may grant
     * @param roster the members
     * @param replica the rows that this node knows
     * @param reachable tells whether this node reaches a member
     * @param listener is told of each transition
     */
    public KeyController(
            KeyControllerSettings self,
            Roster roster,
            RowReplica replica,
            Predicate<Member> reachable,
            TransitionListener listener) {
        this.node = self.node();
        this.service = self.service();
        this.terms = self.terms();
        this.startedAt = self.startedAt();
        this.hosts = new KeyHosts(node, service, roster, reachable);
        this.replica = Objects.requireNonNull(replica, "replica");
        this.tenure = new KeyLeaseController(terms, service, self.run(), listener);
        this.writer = new RowWriter(StorePurpose.KEY_MAP, replica, this::wanted, listener);
        this.watch = new LeaseWatchController(terms.leaseMillis(), listener);
    }

    /**
     * Bounds the holds that are granted from now on. What an earlier run of this node may have granted is reckoned by
     * the terms, whose hold no bound exceeds.
     *
     * @param millis the longest time for which a server may hold keys, in milliseconds
     */
    public void holdAtMost(long millis) {
        longestHoldMillis = Checks.positive("millis", millis);
    }

    private RowRef mapRow() {
        return new RowRef(RowTable.KEYS, service);
    }

    private KeyMap map() {
        return (KeyMap) replica.find(mapRow()).content().orElseGet(() -> KeyMap.vacant(service));
    }

    /**
     * Takes a heartbeat of the server beside this node.
     *
     * @param beat the heartbeat
     * @param now the monotonic time at which it came, in nanoseconds
     * @param effects the sink of the effects
     * @return what the server is to hold, or nothing where no grant can be made
     */
    public Optional<HoldGrant> heartbeat(Heartbeat beat, long now, Effects effects) {
        if (book == null || !book.life().equals(beat.life())) {
            startBook(beat.life(), now, effects);
        }
        lastBeat = beat;
        lastBeatAt = now;
        cold = beat.coldMillis() > 0;
        book.freed(beat.freed());
        Optional<HoldGrant> grant = grant(now, effects);
        writer.review(now, effects);
        return grant;
    }

    private void startBook(ServerIncarnation life, long now, Effects effects) {
        if (book != null) {
            endedHere.add(book.life());
        }
        endedHere.remove(life);
        long unknownUntil = now < startedAt + Timing.millisToNanos(terms.leaseMillis())
                ? startedAt + Timing.millisToNanos(KeyLeaseTimings.surelyOver(terms.holdMillis()))
                : now;
        book = new KeyGrantLedger(life, unknownUntil);
        tenure.serverKnown(life, now, effects);
    }

    private Optional<HoldGrant> grant(long now, Effects effects) {
        long hold = Math.min(tenure.holdMillis(now), longestHoldMillis);
        if (hold < MIN_HOLD_MILLIS) {
            return Optional.empty();
        }
        KeyMap map = map();
        book.revoke(map);
        List<GrantedKeys> grants = book.due(map);
        book.granted(grants, hold, now, effects);
        return Optional.of(new HoldGrant(grants, hold));
    }

    /**
     * Notes that a run of a server beside this node has ended, so that nobody can hold keys under it.
     *
     * @param life the run
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void serverEnded(ServerIncarnation life, long now, Effects effects) {
        endedHere.add(life);
        if (book != null && book.life().equals(life)) {
            book = null;
            tenure.serverGone(now, effects);
        }
        nextReview = now;
    }

    /**
     * Tells whether the server beside this node holds a key.
     *
     * @param key the key
     * @param now the monotonic time, in nanoseconds
     * @return whether it was granted and can't have ended
     */
    public boolean holds(int key, long now) {
        return book != null && book.holds(key, now);
    }

    /**
     * Counts a request that came for a key.
     *
     * @param key the key
     */
    public void counted(int key) {
        seenKeys.add(key);
    }

    /**
     * Lets the lease lapse until the store confirms it: the process may have stood still.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void suspended(long now, Effects effects) {
        tenure.suspended(now, effects);
    }

    /**
     * Takes what another node, or this one, tells of its keys.
     *
     * @param report the report
     * @param now the monotonic time, in nanoseconds
     */
    public void heat(KeyLoadReport report, long now) {
        if (report.service().equals(service)) {
            capacity.take(report, now);
            heat.add(report.keys(), now);
        }
    }

    /**
     * Takes the result of a call to the store.
     *
     * @param purpose who called
     * @param ticket the call's number
     * @param result the result
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void stored(StorePurpose purpose, long ticket, StoreResult result, long now, Effects effects) {
        if (result instanceof StoreResult.Conflicted conflicted) {
            conflicted.rows().forEach(row -> rowChanged(row, now, effects));
        }
        if (result instanceof StoreResult.Read read) {
            replica.take(read.rows().stream()
                    .filter(row -> row.ref().table() == RowTable.KEYS)
                    .toList());
        }
        switch (purpose) {
            case TENURE -> tenure.stored(ticket, result, now, effects);
            case LEASE_WATCH -> watch.stored(ticket, result, now, effects);
            default -> writer.stored(ticket, result, now, effects);
        }
        writer.review(now, effects);
    }

    private void rowChanged(StoredRow row, long now, Effects effects) {
        if (row.ref().table() == RowTable.LEASES) {
            watch.seen(row, now, effects);
        }
    }

    /**
     * Looks at everything that is due: timers, reports, leases that end, keys that have to move.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        tenure.advance(now, effects);
        watch.advance(now, effects);
        writer.advance(now, effects);
        if (book != null
                && now > book.grantedUntil() + HOLD_SLACK
                && now > lastBeatAt + Timing.millisToNanos(terms.holdMillis())) {
            serverEnded(book.life(), now, effects);
        }
        if (now < nextReview) {
            return;
        }
        nextReview = now + REVIEW_EVERY;
        suspectOwners(now, effects);
        writer.review(now, effects);
    }

    /**
     * Tells the node that plans what this node has seen since the last report.
     *
     * @param serviceMillis how long a request occupies a slot of the server lately, in milliseconds
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void report(int serviceMillis, long now, Effects effects) {
        if (book == null || lastBeat == null) {
            return;
        }
        KeyLoadReport report = new KeyLoadReport(
                service, book.life(), lastBeat.slots(), Math.max(1, serviceMillis), cold, List.copyOf(seenKeys));
        seenKeys.clear();
        hosts.planner(now)
                .filter(member -> !member.node().equals(node))
                .ifPresentOrElse(
                        member -> effects.emit(new KeyEffect.TellHeat(member, report)), () -> heat(report, now));
    }

    private void noteMembers(long now) {
        int members = hosts.serving().size();
        if (members != knownMembers) {
            knownMembers = members;
            calmSince = now;
        }
    }

    /** Watches the leases of owners that are not there any more or that this node does not reach. */
    private void suspectOwners(long now, Effects effects) {
        boolean planning = hosts.plansHere(now);
        Set<ServerIncarnation> watched = new HashSet<>();
        for (ServerIncarnation owner : map().owners()) {
            boolean suspect = endedHere.contains(owner) || planning && hosts.isLost(owner, now);
            if (suspect) {
                watched.add(owner);
                watch.watch(owner, endedHere.contains(owner), now, effects);
            }
        }
        watch.retain(watched);
        hosts.forgetAllBut(map());
        endedHere.retainAll(map().owners());
    }

    /** Returns the changes that make the map as it should be, or none. */
    private List<RowChange> wanted(long now) {
        StoredRow row = replica.find(mapRow());
        KeyMap before = map();
        List<RowChange> changes = new ArrayList<>();
        KeyMap after = before;
        if (book != null) {
            book.revoke(before);
            after = book.release(after, now);
        }
        for (ServerIncarnation owner : before.owners()) {
            Optional<RowChange> lapsed = watch.lapsed(owner);
            if (lapsed.isPresent()) {
                changes.add(lapsed.get());
                after = after.vacate(owner);
            }
        }
        after = planned(after, now);
        if (after.equals(before)) {
            return List.of();
        }
        changes.add(0, new RowChange(mapRow(), row.expectedVersion(), Optional.of(after)));
        return changes;
    }

    private KeyMap planned(KeyMap map, long now) {
        noteMembers(now);
        boolean first = map.lastEpoch() == 0;
        if (!hosts.plansHere(now) || first && now - calmSince < FIRST_DEAL_CALM) {
            return map;
        }
        List<Member> serving = hosts.present(now);
        Set<ServerIncarnation> lives = new HashSet<>();
        serving.forEach(member -> lives.add(member.life()));
        KeyMap kept = serving.isEmpty() ? map : map.withoutMovesTo(life -> !lives.contains(life));
        boolean balance = now >= nextBalance;
        KeyPlan plan = new KeyPlan(heat, capacity.candidates(serving, now));
        KeyMap planned = plan.plan(kept, balance);
        if (balance) {
            nextBalance = now + BALANCE_EVERY;
        }
        return planned;
    }

    /**
     * Tells what this node may grant, for those who watch it.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the standing
     */
    public KeyStatus standing(long now) {
        return KeyStatus.of(map(), Optional.ofNullable(book), tenure.leaseNanos(now), now);
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        long due = Math.min(tenure.nextDue(), Math.min(watch.nextDue(), writer.nextDue()));
        return Math.min(due, nextReview);
    }
}
