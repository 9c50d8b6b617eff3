package org.verbenamast.core.relay;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.verbenamast.core.admission.AdmissionController;
import org.verbenamast.core.admission.AdmissionRules;
import org.verbenamast.core.backend.BackendController;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.entry.EntryController;
import org.verbenamast.core.keys.HoldGrant;
import org.verbenamast.core.keys.KeyController;
import org.verbenamast.core.keys.KeyControllerSettings;
import org.verbenamast.core.manifest.ActiveManifest;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.manifest.ServiceRules;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;
import org.verbenamast.core.rows.RowReplica;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.RowWriter;
import org.verbenamast.core.rows.StorePurpose;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.FollowController;
import org.verbenamast.core.watch.FollowedTable;

/**
 * The decisions of a node, put together: what its parts tell each other, and when each has something to do. Reads no
 * clock and does no input or output.
 */
public final class RelayCore implements AdmissionRules {

    /** Time between reports of busy keys, in nanoseconds; a small part of the seconds for which keys stay hot. */
    private static final long REPORT_EVERY = Timing.nanos(500);

    private final RelaySettings self;
    private final Roster roster = new Roster();
    private final RowReplica replica;
    private final BackendController backend;
    private final ServerStatuses standings;
    private final EntryController entry;
    private final AdmissionController gate;
    private final KeyController keys;
    private final RowWriter membership;
    private final FollowController follow;
    private final Evacuation evacuation = new Evacuation();
    private final ActiveManifest manifest = new ActiveManifest();
    private long nextReport;
    private boolean rosterRead;

    /**
     * Puts a node together that knows nothing yet.
     *
     * @param self who the node is
     * @param listener is told of each transition of a chart
     */
    public RelayCore(RelaySettings self, TransitionListener listener) {
        this.self = Objects.requireNonNull(self, "self");
        this.replica = new RowReplica(this::rowChanged);
        this.follow = new FollowController(self.random(), listener);
        this.backend = new BackendController(listener);
        this.standings = new ServerStatuses(backend, self.drainMillis());
        this.entry = new EntryController(self.zone(), roster, replica, self.random(), listener);
        this.gate = new AdmissionController(this, listener);
        KeyControllerSettings keyed =
                new KeyControllerSettings(self.node(), self.run(), self.service(), self.terms(), self.startedAt());
        this.keys = new KeyController(keyed, roster, replica, entry::isReachable, listener);
        OwnMemberRow ownRow = new OwnMemberRow(self, replica, backend);
        this.membership = new RowWriter(
                StorePurpose.MEMBERSHIP, replica, now -> rosterRead ? ownRow.wanted() : List.of(), listener);
    }

    /**
     * Begins to follow the store.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void start(long now, Effects effects) {
        follow.start(now, effects);
    }

    /**
     * Lets leases lapse until the store confirms them: the process may have stood still.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void suspended(long now, Effects effects) {
        keys.suspended(now, effects);
    }

    /**
     * Takes times that have changed while the node runs.
     *
     * @param drain how long a server that leaves may still get requests, in milliseconds
     * @param longestHold the longest time for which a server may hold keys, in milliseconds
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void times(long drain, long longestHold, long now, Effects effects) {
        standings.drainFor(drain);
        keys.holdAtMost(longestHold);
        tellGate(now, effects);
    }

    private void rowChanged(StoredRow row) {
        if (row.ref().table() != RowTable.MEMBERS) {
            return;
        }
        row.content()
                .ifPresentOrElse(
                        content -> roster.put((Member) content),
                        () -> roster.remove(row.ref().key()));
    }

    /**
     * Takes a version of the manifest; an older one than the one in force changes nothing.
     *
     * @param next the manifest
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     * @return whether it came into force
     */
    public boolean manifest(Manifest next, long now, Effects effects) {
        if (!manifest.take(next)) {
            return false;
        }
        tellGate(now, effects);
        return true;
    }

    /**
     * Takes the availability zones that operators have taken out.
     *
     * @param out all of them
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void zonesOut(Set<Zone> out, long now, Effects effects) {
        evacuation.noted(out.contains(self.zone()), now);
        roster.zonesOut(out);
        tellGate(now, effects);
    }

    /**
     * Takes rows of the followed tables that have changed.
     *
     * @param rows the rows
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void rows(Collection<StoredRow> rows, long now, Effects effects) {
        replica.take(rows);
        rows.stream()
                .filter(row -> row.ref().table() == RowTable.KEYS)
                .mapToLong(StoredRow::version)
                .max()
                .ifPresent(latest -> follow.saw(FollowedTable.SHARED, latest, now, effects));
        advance(now, effects);
    }

    /**
     * Takes all rows of the followed tables at one moment.
     *
     * @param rows the rows
     * @param version the store's version at that moment
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void allRows(Collection<StoredRow> rows, long version, long now, Effects effects) {
        replica.takeAll(rows, version);
        if (!rosterRead) {
            rosterRead = true;
            formerServer().ifPresent(life -> keys.serverEnded(life, now, effects));
        }
        advance(now, effects);
    }

    /** Returns the run of the server that this node had beside it before it started, where another is there now. */
    private Optional<ServerIncarnation> formerServer() {
        Optional<ServerIncarnation> former = roster.find(self.node())
                .map(Member::life)
                .filter(life -> !backend.life().equals(Optional.of(life)));
        return backend.life().isPresent() ? former : Optional.empty();
    }

    /**
     * Takes a heartbeat of the server beside this node.
     *
     * @param beat the heartbeat
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     * @return what the server is to hold, or nothing where no keys are granted
     */
    public Optional<HoldGrant> heartbeat(Heartbeat beat, long now, Effects effects) {
        Optional<ServerIncarnation> before = backend.life();
        if (!beat.service().equals(self.service()) || !backend.heartbeat(beat, now)) {
            return Optional.empty();
        }
        noteEnded(before, beat.life(), now, effects);
        Optional<HoldGrant> grant = keyed() ? keys.heartbeat(beat, now, effects) : Optional.empty();
        tellGate(now, effects);
        membership.review(now, effects);
        return grant;
    }

    private void noteEnded(Optional<ServerIncarnation> before, ServerIncarnation life, long now, Effects effects) {
        Optional<ServerIncarnation> former =
                before.isPresent() ? before : roster.find(self.node()).map(Member::life);
        former.filter(other -> !other.equals(life)).ifPresent(other -> keys.serverEnded(other, now, effects));
    }

    private boolean keyed() {
        return rules().filter(ServiceRules::keyed).isPresent();
    }

    private Optional<ServiceRules> rules() {
        return manifest.service(self.service());
    }

    /**
     * Takes the farewell of the server beside this node.
     *
     * @param id the id that it had
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void farewell(String id, long now, Effects effects) {
        backend.farewell(id, now);
        tellGate(now, effects);
        membership.review(now, effects);
    }

    private void tellGate(long now, Effects effects) {
        gate.onServerStatus(standings.present(rules()), now, effects);
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
        if (result instanceof StoreResult.Committed committed && purpose == StorePurpose.KEY_MAP) {
            follow.saw(FollowedTable.SHARED, committed.version(), now, effects);
        }
        if (purpose == StorePurpose.MEMBERSHIP) {
            membership.stored(ticket, result, now, effects);
        } else {
            keys.stored(purpose, ticket, result, now, effects);
        }
    }

    /**
     * Fires everything that is due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        ServerState before = backend.state();
        backend.advance(now);
        if (backend.state() != before) {
            tellGate(now, effects);
        }
        follow.advance(now, effects);
        membership.advance(now, effects);
        membership.review(now, effects);
        entry.advance(now, effects);
        gate.advance(now, effects);
        if (keyed()) {
            keys.advance(now, effects);
            if (now >= nextReport) {
                nextReport = now + REPORT_EVERY;
                keys.report(gate.load(now).serviceMillis(), now, effects);
            }
        }
    }

    /**
     * Returns when something is due next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        long due = Math.min(Math.min(backend.nextDue(), membership.nextDue()), follow.nextDue());
        due = Math.min(due, Math.min(entry.nextDue(), gate.nextDue()));
        return keyed() ? Math.min(due, Math.min(keys.nextDue(), nextReport)) : due;
    }

    @Override
    public boolean isEvacuated(boolean keyed, long now) {
        return evacuation.refuses(keyed, now);
    }

    @Override
    public boolean isGranted(int key, long now) {
        return keys.holds(key, now);
    }

    @Override
    public boolean isSuspect(long id) {
        return false;
    }

    /**
     * Returns the manifest in force.
     *
     * @return the manifest and its routes
     */
    public ActiveManifest manifest() {
        return manifest;
    }

    /**
     * Tells whether this node can take requests: it knows a manifest and the other members.
     *
     * @return whether it is ready
     */
    public boolean ready() {
        return manifest.known() && rosterRead;
    }

    /**
     * Returns the tables that this node follows.
     *
     * @return the desk
     */
    public FollowController follow() {
        return follow;
    }

    /**
     * Returns the requests that this node took from callers.
     *
     * @return the desk
     */
    public EntryController entry() {
        return entry;
    }

    /**
     * Returns the gate in front of the server beside this node.
     *
     * @return the desk
     */
    public AdmissionController gate() {
        return gate;
    }

    /**
     * Returns the keys of the service beside this node.
     *
     * @return the desk
     */
    public KeyController keys() {
        return keys;
    }

    /**
     * Returns the members.
     *
     * @return the roster
     */
    public Roster roster() {
        return roster;
    }
}
