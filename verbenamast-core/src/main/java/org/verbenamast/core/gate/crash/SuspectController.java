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

/** The requests that are suspected to crash backend servers, in the whole fleet. */
public final class SuspectController {

    /** The names that the chart file may use. */
    public static final Vocabulary<SuspectEvent, SuspectGuard, SuspectAction, SuspectTimer, SuspectTag> VOCABULARY =
            new Vocabulary<>(
                    SuspectEvent.class, SuspectGuard.class, SuspectAction.class, SuspectTimer.class, SuspectTag.class);

    /** The names that the chart file of a node that has just started may use. */
    public static final Vocabulary<BootstrapEvent, BootstrapGuard, BootstrapAction, BootstrapTimer, BootstrapTag>
            BOOTSTRAP = new Vocabulary<>(
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
    private boolean begun;

    /**
     * Makes a desk that suspects nothing.
     *
     * @param self this node
     * @param directory the members, which are told of suspicions
     * @param listener is told of each transition
     */
    public SuspectController(MemberId self, Directory directory, TransitionListener listener) {
        this.self = Objects.requireNonNull(self, "self");
        this.directory = Objects.requireNonNull(directory, "directory");
        Chart<SuspectEvent, SuspectData, SuspectInput> chart = ChartReader.bundled("suspect", VOCABULARY);
        this.suspects = new ChartInstances<>(chart, event -> SuspectInput.NONE, listener);
        Chart<BootstrapEvent, Integer, BootstrapInput> start = ChartReader.bundled("bootstrap", BOOTSTRAP);
        this.bootstrap = new ChartInstances<>(start, event -> BootstrapInput.NONE, listener);
        bootstrap.begin(self, 0, 0);
    }

    /**
     * Finds the slice whose owner alone may run a request because it is suspected.
     *
     * @param request the request
     * @param service the request's service
     * @return the slice, or null where the request is not suspected or has an owner anyway
     */
    public SliceId sliceOf(CallerRequest request, ServiceSettings service) {
        boolean owned = service.keyed() || request.resendable();
        if (suspects.size() == 0 || owned) {
            return null;
        }
        Fingerprint fingerprint = Fingerprint.of(request);
        return is(fingerprint, SuspectTag.RUNS_ALONE) ? fingerprint.slice(service) : null;
    }

    /**
     * Tells whether a request may run at this node.
     *
     * @param request the request
     * @param service the request's service
     * @param slice the slice whose owner this node is for the request, or null
     * @return whether crashes speak against it
     */
    public SuspectStatus standing(CallerRequest request, ServiceSettings service, SliceId slice) {
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
        return is(fingerprint, SuspectTag.RUNS_ALONE)
                ? alone(fingerprint, request, service, slice)
                : SuspectStatus.CLEAR;
    }

    private SuspectStatus alone(
            Fingerprint fingerprint, CallerRequest request, ServiceSettings service, SliceId slice) {
        if (!service.keyed() && request.resendable()) {
            return SuspectStatus.STOPPED;
        }
        boolean here = service.keyed() || fingerprint.slice(service).equals(slice);
        return here && !suspectRuns() ? SuspectStatus.CLEAR : SuspectStatus.HELD;
    }

    /** Tells whether the backend server has a suspected request; two at once would both be blamed for a crash. */
    private boolean suspectRuns() {
        return running.keySet().stream().anyMatch(fingerprint -> suspects.find(fingerprint) != null);
    }

    private boolean is(Fingerprint fingerprint, SuspectTag tag) {
        Instance<SuspectData> suspect = suspects.find(fingerprint);
        return suspect != null && suspect.hasTag(tag);
    }

    /**
     * Notes that the backend server is given a request.
     *
     * @param request the request
     */
    public void started(CallerRequest request) {
        running.merge(Fingerprint.of(request), 1, Integer::sum);
    }

    /**
     * Notes that a request was refused for the crashes that it caused.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void refused(CallerRequest request, long now, Effects effects) {
        suspects.fire(Fingerprint.of(request), SuspectEvent.REFUSED, SuspectInput.NONE, now, effects);
    }

    /**
     * Notes that the backend server answered a request.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void answered(CallerRequest request, long now, Effects effects) {
        Fingerprint fingerprint = Fingerprint.of(request);
        left(fingerprint);
        if (is(fingerprint, SuspectTag.RUNS_ALONE) || is(fingerprint, SuspectTag.HELD)) {
            tell(List.of(fingerprint), "", CrashNoticeKind.RAN_WELL, now, effects);
        }
    }

    /**
     * Accuses a request: the connection broke while the backend server had it.
     *
     * @param request the request
     * @param start the start id of the run of the backend server that had it
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void lost(CallerRequest request, String start, long now, Effects effects) {
        Fingerprint fingerprint = Fingerprint.of(request);
        left(fingerprint);
        incidents.add(start, fingerprint);
        tell(List.of(fingerprint), incident(start), CrashNoticeKind.ACCUSED, now, effects);
    }

    /**
     * Notes that a request ended without being run or answered.
     *
     * @param request the request
     */
    public void released(CallerRequest request) {
        left(Fingerprint.of(request));
    }

    private void left(Fingerprint fingerprint) {
        running.computeIfPresent(fingerprint, (known, count) -> count == 1 ? null : count - 1);
    }

    /**
     * Decides by an announcement whether broken connections were crashes.
     *
     * @param start the start id in the announcement
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void announced(String start, long now, Effects effects) {
        tell(incidents.announced(start), now, effects);
    }

    /**
     * Takes the backend server's absence as proof that broken connections were crashes.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void unreachable(long now, Effects effects) {
        tell(incidents.unreachable(), now, effects);
    }

    private void tell(List<LocalIncidents.Decided> decided, long now, Effects effects) {
        decided.forEach(done -> tell(done.fingerprints(), incident(done.start()), done.news(), now, effects));
    }

    private String incident(String start) {
        return self + "/" + start;
    }

    private void tell(
            List<Fingerprint> fingerprints, String incident, CrashNoticeKind news, long now, Effects effects) {
        PeerMessage.CrashNotice notice = new PeerMessage.CrashNotice(fingerprints, incident, news);
        heard(notice, now, effects);
        broadcast(notice, effects);
        if (news.accuses()) {
            repeats.plan(notice, now);
        }
    }

    private void broadcast(PeerMessage.CrashNotice notice, Effects effects) {
        for (MemberRow member : directory.members()) {
            if (!member.id().equals(self) && !member.status().over()) {
                effects.emit(new Effect.SendToPeer(member.id(), notice));
            }
        }
    }

    /**
     * Takes news from a member.
     *
     * @param notice the news
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void heard(PeerMessage.CrashNotice notice, long now, Effects effects) {
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
     * Takes another member that this node has learnt of.
     *
     * @param member the member
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void learnt(MemberId member, long now, Effects effects) {
        if (!member.equals(self)) {
            bootstrap.fire(self, BootstrapEvent.MEMBER_LEARNT, new BootstrapInput(member), now, effects);
        }
    }

    /**
     * Tells a member that has just started what this node suspects.
     *
     * @param newcomer the member
     * @param effects the sink of the effects
     */
    public void asked(MemberId newcomer, Effects effects) {
        if (!ready()) {
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
     * Takes what another member suspects.
     *
     * @param history what it suspects
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void answered(PeerMessage.CrashHistory history, long now, Effects effects) {
        for (Suspicion suspicion : history.suspicions()) {
            List<Fingerprint> one = List.of(suspicion.fingerprint());
            suspicion.open().forEach(at -> heard(notice(one, at, CrashNoticeKind.ACCUSED), now, effects));
            suspicion.crashed().forEach(at -> heard(notice(one, at, CrashNoticeKind.CONFIRMED), now, effects));
        }
        bootstrap.fire(self, BootstrapEvent.ANSWERED, BootstrapInput.NONE, now, effects);
    }

    private static PeerMessage.CrashNotice notice(
            List<Fingerprint> fingerprints, String incident, CrashNoticeKind news) {
        return new PeerMessage.CrashNotice(fingerprints, incident, news);
    }

    /**
     * Tells whether this node knows what the others suspect, as far as it could learn it.
     *
     * @return whether its backend server may be given requests
     */
    public boolean ready() {
        return bootstrap.find(self).hasTag(BootstrapTag.READY);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        if (!begun) {
            begun = true;
            bootstrap.fire(self, BootstrapEvent.BEGIN, BootstrapInput.NONE, now, effects);
        }
        bootstrap.advance(now, effects);
        suspects.advance(now, effects);
        repeats.advance(now, notice -> broadcast(notice, effects));
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return Math.min(repeats.nextDue(), begun ? Math.min(bootstrap.nextDue(), suspects.nextDue()) : 0);
    }
}
