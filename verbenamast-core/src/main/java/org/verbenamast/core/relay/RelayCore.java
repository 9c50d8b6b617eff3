package org.verbenamast.core.relay;

import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.verbenamast.core.admission.AdmissionController;
import org.verbenamast.core.backend.BackendStateController;
import org.verbenamast.core.backend.NoticeController;
import org.verbenamast.core.backend.ServerNotice;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.entry.EntryController;
import org.verbenamast.core.gate.crash.CrashReportController;
import org.verbenamast.core.keys.KeyController;
import org.verbenamast.core.manifest.ActiveManifest;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.manifest.ServiceRules;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowReplica;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StorePurpose;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoreVersion;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.tenant.CapController;
import org.verbenamast.core.watch.FollowController;
import org.verbenamast.core.watch.FollowedTable;

/**
 * The decisions of a node: passes events and results between its controllers and reports when the next timer is due.
 * Reads no clock and does no I/O.
 */
public final class RelayCore {

    /** Interval between load reports of keys; a small part of the seconds for which keys stay hot. */
    private static final long REPORT_INTERVAL_NANOS = Timing.millisToNanos(500);

    private final RelaySettings settings;
    private final SharedRows rows = new SharedRows();
    private final BackendStateController backend;
    private final ServerStatuses serverStatuses;
    private final EntryController entry;
    private final AdmissionController admission;
    private final KeyController keys;
    private final CrashReportController crashReports;
    private final OwnRows ownRows;
    private final NoticeController notices;
    private final FollowController follow;
    private final CapController caps;
    private final Evacuation evacuation;
    private final ActiveManifest manifest = new ActiveManifest();
    private long nextReportAt;

    /**
     * Creates a node that knows no rows, no manifest and no server.
     *
     * @param settings the node's identity and settings
     * @param listener notified of each transition of a chart
     */
    public RelayCore(RelaySettings settings, TransitionListener listener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        RowReplica replica = rows.replica();
        Roster roster = rows.roster();
        this.follow = new FollowController(settings.random(), listener);
        this.evacuation = new Evacuation(settings.zone(), roster);
        this.backend = new BackendStateController(listener);
        this.serverStatuses = new ServerStatuses(backend, settings.drainMillis());
        this.crashReports = new CrashReportController(settings.node(), replica, rows.suspects(), settings.random());
        long hedges = settings.limits().hedgesPerMille();
        this.entry = new EntryController(
                settings.zone(), roster, replica, crashReports, hedges, settings.random(), listener);
        this.keys = new KeyController(
                settings.keyed(), roster, replica, entry::isReachable, follow::membersAsOf, follow.eras(), listener);
        this.admission = new AdmissionController(new GateRules(evacuation, keys, crashReports), listener);
        this.caps = settings.newCapController(roster, listener);
        this.ownRows = new OwnRows(settings, replica, backend, crashReports, listener);
        this.notices = new NoticeController(
                new ServerNotices(settings, backend, crashReports, keys, ownRows, this::isKeyed), listener);
    }

    /**
     * Starts to follow the tables of the store.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void start(long now, Effects effects) {
        follow.start(now, effects);
    }

    /**
     * Handles a possible suspension of the process: leases lapse until the store confirms them.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onSuspended(long now, Effects effects) {
        keys.onSuspended(now, effects);
    }

    /**
     * Applies durations that have changed while the node is running.
     *
     * @param drainMillis how long a leaving server may still receive requests, in milliseconds
     * @param maxGrantMillis the maximum duration of a key grant to a server, in milliseconds
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onTimingsChanged(long drainMillis, long maxGrantMillis, long now, Effects effects) {
        serverStatuses.setDrainMillis(drainMillis);
        keys.limitGrantDuration(maxGrantMillis);
        updateAdmission(now, effects);
    }

    /** Reports the key maps that have changed to the requests that wait for an owner. */
    private void reportOwners(long now, Effects effects) {
        rows.takeChangedKeyMaps().forEach(service -> entry.onOwnersChanged(service, now, effects));
    }

    /**
     * Applies a version of the manifest unless it is no newer than the version in force.
     *
     * @param next the manifest
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     * @return whether the version came into force
     */
    public boolean manifest(Manifest next, long now, Effects effects) {
        if (!manifest.accept(next)) {
            return false;
        }
        caps.onManifest(next, now, effects);
        updateAdmission(now, effects);
        return true;
    }

    /**
     * Applies the set of availability zones that operators have evacuated, that is, taken out of service.
     *
     * @param evacuatedZones all evacuated zones
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onEvacuatedZones(Set<Zone> evacuatedZones, long now, Effects effects) {
        evacuation.update(evacuatedZones, follow.eras().era(), now);
        updateAdmission(now, effects);
    }

    /** Handles a new era of the store, and the end of the time in which what it lost is written again. */
    private void reviewEra(long now, Effects effects) {
        ownRows.onEra(follow.eras().era());
        if (evacuation.review(follow.eras(), now)) {
            updateAdmission(now, effects);
        }
    }

    /**
     * Applies changed rows of the followed tables.
     *
     * @param changed the rows
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRows(Collection<StoredRow> changed, long now, Effects effects) {
        changed.forEach(row -> follow.onEra(StoreVersion.ofPacked(row.version()).era(), now, effects));
        reviewEra(now, effects);
        rows.replica().apply(changed);
        changed.stream()
                .filter(row -> row.ref().table() == RowTable.KEYS)
                .mapToLong(StoredRow::version)
                .max()
                .ifPresent(latest -> follow.onRowsReceived(FollowedTable.SHARED, latest, now, effects));
        advance(now, effects);
    }

    /**
     * Applies a snapshot of the followed tables.
     *
     * @param all all rows
     * @param version the store's version as of the snapshot
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onSnapshot(Collection<StoredRow> all, long version, long now, Effects effects) {
        reviewEra(now, effects);
        rows.replica().applySnapshot(all, version);
        if (ownRows.onSnapshot()) {
            backend.restore(ownRows.storedMember(), now);
        }
        advance(now, effects);
    }

    /**
     * Handles a notice of the server beside this node. A {@link org.verbenamast.core.backend.NoticeEffect} answers it.
     *
     * @param callId the number of the call, higher than that of all calls before
     * @param notice the notice
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onNotice(long callId, ServerNotice notice, long now, Effects effects) {
        notices.onNotice(callId, notice, now, effects);
        onServerChanged(now, effects);
    }

    /** Handles the notices that can be answered now. */
    private void reviewNotices(long now, Effects effects) {
        if (!notices.isIdle()) {
            notices.review(now, effects);
            onServerChanged(now, effects);
        }
    }

    private void onServerChanged(long now, Effects effects) {
        updateAdmission(now, effects);
        ownRows.review(now, effects);
    }

    private boolean isKeyed() {
        return rules().filter(ServiceRules::keyed).isPresent();
    }

    private Optional<ServiceRules> rules() {
        return manifest.service(settings.service());
    }

    private void updateAdmission(long now, Effects effects) {
        admission.onServerStatus(serverStatuses.current(rules()), now, effects);
    }

    /**
     * Handles the result of a call to the store.
     *
     * @param purpose the part of the node that made the call
     * @param callId the number of the call
     * @param result the result
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onStoreResult(StorePurpose purpose, long callId, StoreResult result, long now, Effects effects) {
        if (result instanceof StoreResult.Committed committed && purpose == StorePurpose.KEY_MAP) {
            follow.onRowsReceived(FollowedTable.SHARED, committed.version(), now, effects);
        }
        if (purpose == StorePurpose.MEMBERSHIP) {
            ownRows.onStoreResult(callId, result, now, effects);
            reviewNotices(now, effects);
        } else {
            keys.onStoreResult(purpose, callId, result, now, effects);
        }
        reportOwners(now, effects);
    }

    /**
     * Fires all timers that are due and sends the load report when its interval has elapsed.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        boolean present = backend.isPresent();
        backend.advance(now);
        if (backend.isPresent() != present) {
            crashReports.onServerUnreachable(now);
            updateAdmission(now, effects);
        }
        follow.advance(now, effects);
        reviewEra(now, effects);
        notices.advance(now, effects);
        reviewNotices(now, effects);
        ownRows.advance(now, effects);
        reportOwners(now, effects);
        caps.advance(now, effects);
        entry.advance(now, effects);
        admission.advance(now, effects);
        if (isKeyed()) {
            keys.advance(now, effects);
            if (now >= nextReportAt) {
                nextReportAt = now + REPORT_INTERVAL_NANOS;
                keys.reportLoad(admission.load(now).serviceMillis(), now, effects);
            }
        }
    }

    /**
     * Returns when the next timer or load report is due.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        long due = Math.min(Math.min(backend.nextDue(), ownRows.nextDue()), follow.nextDue());
        due = Math.min(due, notices.nextDue());
        due = Math.min(Math.min(due, caps.nextDue()), Math.min(entry.nextDue(), admission.nextDue()));
        return isKeyed() ? Math.min(due, Math.min(keys.nextDue(), nextReportAt)) : due;
    }

    /** Returns whether a request must not reach the server, because its zone is evacuated or may be. */
    boolean isEvacuated(boolean keyed, long now) {
        return evacuation.refuses(keyed, now);
    }

    /**
     * Returns the controller of requests that crash servers.
     *
     * @return the controller
     */
    public CrashReportController crashReports() {
        return crashReports;
    }

    /**
     * Returns the controller of the tenants' caps.
     *
     * @return the controller
     */
    public CapController caps() {
        return caps;
    }

    /**
     * Returns the manifest in force.
     *
     * @return the manifest, which may not be known yet
     */
    public ActiveManifest manifest() {
        return manifest;
    }

    /**
     * Returns whether this node can accept requests, that is, knows a manifest and the other members.
     *
     * @return whether the node is ready
     */
    public boolean isReady() {
        return manifest.isKnown() && ownRows.isReplicaRead();
    }

    /**
     * Returns the controller of the tables that this node follows.
     *
     * @return the controller
     */
    public FollowController follow() {
        return follow;
    }

    /**
     * Returns the controller of the requests that this node received from callers as their entry node.
     *
     * @return the controller
     */
    public EntryController entry() {
        return entry;
    }

    /**
     * Returns the admission controller in front of the server beside this node.
     *
     * @return the controller
     */
    public AdmissionController admission() {
        return admission;
    }

    /**
     * Returns the controller of the keys of the service beside this node.
     *
     * @return the controller
     */
    public KeyController keys() {
        return keys;
    }

    /**
     * Returns the newest version of a shared row that this node knows.
     *
     * @param ref identifies the row
     * @return the row; one of version 0 without content if none is known
     */
    public StoredRow knownRow(RowRef ref) {
        return rows.replica().find(ref);
    }

    /**
     * Returns the known members and evacuated availability zones.
     *
     * @return the roster
     */
    public Roster roster() {
        return rows.roster();
    }
}
