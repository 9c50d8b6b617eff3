package org.verbenamast.core.gate.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.request.CallerRequest;

/**
 * Tracks the requests that are suspected of crashing backend servers, in the whole fleet. Members send each other
 * notices of incidents and of their resolution.
 */
public final class SuspectController {

    /** The vocabulary of chart {@code suspect}. */
    public static final Vocabulary<SuspectEvent, SuspectGuard, SuspectAction, SuspectTimer, SuspectTag> VOCABULARY =
            new Vocabulary<>(
                    SuspectEvent.class, SuspectGuard.class, SuspectAction.class, SuspectTimer.class, SuspectTag.class);

    /** The vocabulary of chart {@code bootstrap}. */
    public static final Vocabulary<BootstrapEvent, BootstrapGuard, BootstrapAction, BootstrapTimer, BootstrapTag>
            BOOTSTRAP_VOCABULARY = new Vocabulary<>(
                    BootstrapEvent.class,
                    BootstrapGuard.class,
                    BootstrapAction.class,
                    BootstrapTimer.class,
                    BootstrapTag.class);

    private static final int MAX_SUSPECTS = 4_096;

    private final MemberId self;
    private final Directory directory;
    private final ChartInstances<Fingerprint, SuspectEvent, SuspectData, SuspectInput> suspects;
    private final ChartInstances<MemberId, BootstrapEvent, Integer, BootstrapInput> bootstrap;
    private final NoticeRepeats repeats = new NoticeRepeats();
    private final LocalIncidents incidents = new LocalIncidents();
    private final Map<Fingerprint, Integer> running = new HashMap<>();
    private boolean started;

    /**
     * Creates a controller without suspicions.
     *
     * @param self this node
     * @param directory the members that receive the notices
     * @param listener notified of each transition
     */
    public SuspectController(MemberId self, Directory directory, TransitionListener listener) {
        this.self = Objects.requireNonNull(self, "self");
        this.directory = Objects.requireNonNull(directory, "directory");
        Chart<SuspectEvent, SuspectData, SuspectInput> chart = ChartReader.bundled("suspect", VOCABULARY);
        this.suspects = new ChartInstances<>(chart, event -> SuspectInput.NONE, listener);
        Chart<BootstrapEvent, Integer, BootstrapInput> start = ChartReader.bundled("bootstrap", BOOTSTRAP_VOCABULARY);
        this.bootstrap = new ChartInstances<>(start, event -> BootstrapInput.NONE, listener);
        bootstrap.begin(self, 0, 0);
    }

    /**
     * Returns the slice whose owner is the only member that may run a suspected request.
     *
     * @param request the request
     * @param service the request's service
     * @return the slice, or null if the request is not suspected or belongs to a slice in any case
     */
    public SliceId exclusiveSliceOf(CallerRequest request, ServiceSettings service) {
        boolean owned = service.keyed() || request.usesIdempotencyKey();
        if (suspects.size() == 0 || owned) {
            return null;
        }
        Fingerprint fingerprint = Fingerprint.of(request);
        return is(fingerprint, SuspectTag.EXCLUSIVE) ? fingerprint.slice(service) : null;
    }

    /**
     * Returns whether a request may run at this node.
     *
     * @param request the request
     * @param service the request's service
     * @param slice the slice that this node must own to run the request, or null
     * @return whether the request may run, is held, or is refused
     */
    public SuspectStatus status(CallerRequest request, ServiceSettings service, SliceId slice) {
        if (suspects.size() == 0) {
            return SuspectStatus.CLEAR;
        }
        Fingerprint fingerprint = Fingerprint.of(request);
        if (is(fingerprint, SuspectTag.STOPPED)) {
            return SuspectStatus.STOPPED;
        }
        if (is(fingerprint, SuspectTag.HELD)) {
            return SuspectStatus.HELD;
        }
        return is(fingerprint, SuspectTag.EXCLUSIVE)
                ? statusAtExclusiveOwner(fingerprint, request, service, slice)
                : SuspectStatus.CLEAR;
    }

    private SuspectStatus statusAtExclusiveOwner(
            Fingerprint fingerprint, CallerRequest request, ServiceSettings service, SliceId slice) {
        if (!service.keyed() && request.usesIdempotencyKey()) {
            return SuspectStatus.STOPPED;
        }
        boolean here = service.keyed() || fingerprint.slice(service).equals(slice);
        return here && !isSuspectRunning() ? SuspectStatus.CLEAR : SuspectStatus.HELD;
    }

    /**
     * Returns whether the backend server is running a suspected request. Two at once would both be blamed for a crash.
     */
    private boolean isSuspectRunning() {
        return running.keySet().stream().anyMatch(fingerprint -> suspects.find(fingerprint) != null);
    }

    private boolean is(Fingerprint fingerprint, SuspectTag tag) {
        Instance<SuspectData> suspect = suspects.find(fingerprint);
        return suspect != null && suspect.hasTag(tag);
    }

    /**
     * Records that a request is sent to the backend server.
     *
     * @param request the request
     */
    public void onCallStarted(CallerRequest request) {
        running.merge(Fingerprint.of(request), 1, Integer::sum);
    }

    /**
     * Records that a stopped request was refused, which restarts its ban.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRefused(CallerRequest request, long now, Effects effects) {
        suspects.fire(Fingerprint.of(request), SuspectEvent.REFUSED, SuspectInput.NONE, now, effects);
    }

    /**
     * Handles the backend server's answer to a request, which acquits the request if it is suspected.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onAnswer(CallerRequest request, long now, Effects effects) {
        Fingerprint fingerprint = Fingerprint.of(request);
        removeRunning(fingerprint);
        if (is(fingerprint, SuspectTag.EXCLUSIVE) || is(fingerprint, SuspectTag.HELD)) {
            report(List.of(fingerprint), "", CrashNoticeKind.RAN_WELL, now, effects);
        }
    }

    /**
     * Accuses a request, because the connection broke while the backend server was running it.
     *
     * @param request the request
     * @param startId the start id of the server incarnation that was running it
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onConnectionLost(CallerRequest request, String startId, long now, Effects effects) {
        Fingerprint fingerprint = Fingerprint.of(request);
        removeRunning(fingerprint);
        incidents.add(startId, fingerprint);
        report(List.of(fingerprint), incidentId(startId), CrashNoticeKind.ACCUSED, now, effects);
    }

    /**
     * Records that a request ended without being run.
     *
     * @param request the request
     */
    public void onNotRun(CallerRequest request) {
        removeRunning(Fingerprint.of(request));
    }

    private void removeRunning(Fingerprint fingerprint) {
        running.computeIfPresent(fingerprint, (known, count) -> count == 1 ? null : count - 1);
    }

    /**
     * Confirms or dismisses local incidents by the start id in an announcement.
     *
     * @param startId the start id in the announcement
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onAnnouncement(String startId, long now, Effects effects) {
        report(incidents.onAnnouncement(startId), now, effects);
    }

    /**
     * Confirms all local incidents as crashes, because the backend server can't be reached.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onServerUnreachable(long now, Effects effects) {
        report(incidents.onServerUnreachable(), now, effects);
    }

    private void report(List<LocalIncidents.ResolvedIncident> resolved, long now, Effects effects) {
        resolved.forEach(incident ->
                report(incident.fingerprints(), incidentId(incident.startId()), incident.kind(), now, effects));
    }

    private String incidentId(String startId) {
        return self + "/" + startId;
    }

    private void report(
            List<Fingerprint> fingerprints, String incident, CrashNoticeKind kind, long now, Effects effects) {
        PeerMessage.CrashNotice notice = new PeerMessage.CrashNotice(fingerprints, incident, kind);
        onNotice(notice, now, effects);
        broadcast(notice, effects);
        if (kind.accuses()) {
            repeats.schedule(notice, now);
        }
    }

    private void broadcast(PeerMessage.CrashNotice notice, Effects effects) {
        for (MemberRow member : directory.members()) {
            if (!member.id().equals(self) && !member.status().hasEnded()) {
                effects.emit(new Effect.SendToPeer(member.id(), notice));
            }
        }
    }

    /**
     * Handles a crash notice from a member, or from this node itself.
     *
     * @param notice the notice
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onNotice(PeerMessage.CrashNotice notice, long now, Effects effects) {
        SuspectInput input = new SuspectInput(notice.incident());
        for (Fingerprint fingerprint : notice.fingerprints()) {
            boolean known = suspects.find(fingerprint) != null;
            if (known) {
                suspects.fire(fingerprint, notice.kind().event(), input, now, effects);
            } else if (notice.kind().accuses() && suspects.size() < MAX_SUSPECTS) {
                SuspectData suspect = new SuspectData(fingerprint, Set.of(notice.incident()), Set.of(), Set.of());
                suspects.begin(fingerprint, suspect, now);
                suspects.fire(fingerprint, notice.kind().event(), input, now, effects);
            }
        }
    }

    /**
     * Handles a member that is new to the directory. A node that has just started queries it for its suspicions.
     *
     * @param member the member
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onMember(MemberId member, long now, Effects effects) {
        if (!member.equals(self)) {
            bootstrap.fire(self, BootstrapEvent.MEMBER_LEARNT, new BootstrapInput(member), now, effects);
        }
    }

    /**
     * Sends a member that has just started this node's suspicions. Does nothing while this node is not ready itself.
     *
     * @param newcomer the member
     * @param effects receives the effects
     */
    public void onCrashQuery(MemberId newcomer, Effects effects) {
        if (!isReady()) {
            return;
        }
        List<Suspicion> suspicions = new ArrayList<>();
        suspects.forEach((fingerprint, suspect) -> suspicions.add(new Suspicion(
                fingerprint,
                List.copyOf(suspect.data().open()),
                List.copyOf(suspect.data().crashed()))));
        effects.emit(new Effect.SendToPeer(newcomer, new PeerMessage.CrashHistory(suspicions)));
    }

    /**
     * Handles the suspicions of another member, the answer to this node's query.
     *
     * @param history the member's suspicions
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onAnswer(PeerMessage.CrashHistory history, long now, Effects effects) {
        for (Suspicion suspicion : history.suspicions()) {
            List<Fingerprint> one = List.of(suspicion.fingerprint());
            suspicion
                    .open()
                    .forEach(incident -> onNotice(notice(one, incident, CrashNoticeKind.ACCUSED), now, effects));
            suspicion
                    .crashed()
                    .forEach(incident -> onNotice(notice(one, incident, CrashNoticeKind.CONFIRMED), now, effects));
        }
        bootstrap.fire(self, BootstrapEvent.ANSWERED, BootstrapInput.NONE, now, effects);
    }

    private static PeerMessage.CrashNotice notice(
            List<Fingerprint> fingerprints, String incident, CrashNoticeKind kind) {
        return new PeerMessage.CrashNotice(fingerprints, incident, kind);
    }

    /**
     * Returns whether this node has received the suspicions of another member, or has waited long enough for them.
     *
     * @return whether requests may be sent to its backend server
     */
    public boolean isReady() {
        return bootstrap.find(self).hasTag(BootstrapTag.READY);
    }

    /**
     * Fires the timers and sends the repeated notices that are due. The first call starts the bootstrap.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        if (!started) {
            started = true;
            bootstrap.fire(self, BootstrapEvent.BEGIN, BootstrapInput.NONE, now, effects);
        }
        bootstrap.advance(now, effects);
        suspects.advance(now, effects);
        repeats.advance(now, notice -> broadcast(notice, effects));
    }

    /**
     * Returns when the next timer or resend of a notice is due.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return Math.min(repeats.nextDue(), started ? Math.min(bootstrap.nextDue(), suspects.nextDue()) : 0);
    }
}
