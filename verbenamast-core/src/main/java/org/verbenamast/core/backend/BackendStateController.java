package org.verbenamast.core.backend;

import java.util.Optional;

import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;

/** Tracks the backend server beside this node: its present incarnation, and whether it accepts requests. */
public final class BackendStateController {

    /** The vocabulary of chart {@code backend}. */
    public static final Vocabulary<BackendEvent, BackendGuard, BackendAction, BackendTimer, BackendTag> VOCABULARY =
            new Vocabulary<>(
                    BackendEvent.class, BackendGuard.class, BackendAction.class, BackendTimer.class, BackendTag.class);

    private static final String KEY = "backend";
    private static final Effects NO_EFFECTS = effect -> {};

    private final ChartInstances<String, BackendEvent, BackendData, BackendInput> backend;

    /**
     * Creates a controller that has received no heartbeat and has not been restored.
     *
     * @param listener notified of each transition
     */
    public BackendStateController(TransitionListener listener) {
        this.backend =
                new ChartInstances<>(ChartReader.bundled("backend", VOCABULARY), event -> BackendInput.NONE, listener);
        backend.begin(KEY, BackendData.initial(), 0);
    }

    private Instance<BackendData> instance() {
        return backend.find(KEY);
    }

    /**
     * Restores what earlier processes of this node have recorded of the server. Has an effect once.
     *
     * @param row the node's own row, or empty where there is none
     * @param now the monotonic time, in nanoseconds
     */
    public void restore(Optional<Member> row, long now) {
        backend.fire(KEY, BackendEvent.RESTORED, BackendInput.ofRow(row), now, NO_EFFECTS);
    }

    /**
     * Returns whether this node knows what its earlier processes have recorded. Before that, no notice may be handled.
     *
     * @return whether the node has read its own row
     */
    public boolean isRestored() {
        return instance().hasTag(BackendTag.RESTORED);
    }

    /**
     * Handles a heartbeat.
     *
     * @param heartbeat the heartbeat
     * @param now the monotonic time, in nanoseconds
     * @return why it was ignored; empty if it was applied
     */
    public Optional<NoticeRejection> onHeartbeat(Heartbeat heartbeat, long now) {
        Optional<NoticeRejection> rejection = rejectionOf(heartbeat, now);
        if (rejection.isEmpty()) {
            BackendEvent event = heartbeat.state() == ServerState.READY ? BackendEvent.READY : BackendEvent.LEAVING;
            backend.fire(KEY, event, BackendInput.of(heartbeat), now, NO_EFFECTS);
        }
        return rejection;
    }

    private Optional<NoticeRejection> rejectionOf(Heartbeat heartbeat, long now) {
        BackendData data = instance().data();
        ServerIncarnation sender = heartbeat.incarnation();
        if (data.server().filter(known -> known.isPrecededBy(sender, now)).isPresent()) {
            return Optional.of(NoticeRejection.EARLIER_INCARNATION);
        }
        return data.lastHeartbeat()
                .filter(last -> last.incarnation().equals(sender) && heartbeat.sequence() <= last.sequence())
                .map(last -> NoticeRejection.OUTDATED);
    }

    /**
     * Returns whether the order of a heartbeat among others of its incarnation is unknown: it is the first one that
     * this node receives of an incarnation that an earlier process of the node has known.
     *
     * @param heartbeat the heartbeat, which has not been handled yet
     * @return whether later heartbeats may have been handled before this node started
     */
    public boolean isOrderUnknown(Heartbeat heartbeat) {
        BackendData data = instance().data();
        return data.lastHeartbeat().isEmpty()
                && incarnation().filter(heartbeat.incarnation()::equals).isPresent();
    }

    /**
     * Handles the notice that a server incarnation is leaving, which names only its id.
     *
     * @param id the id of the incarnation
     * @param now the monotonic time, in nanoseconds
     * @return why it was ignored; empty if it was applied
     */
    public Optional<NoticeRejection> onServerLeaving(String id, long now) {
        Optional<KnownServer> named = instance().data().server().filter(known -> known.incarnation()
                .id()
                .equals(id));
        if (named.isEmpty()) {
            return Optional.of(NoticeRejection.UNKNOWN_SERVER);
        }
        if (named.get().isIdAmbiguous(now)) {
            return Optional.of(NoticeRejection.AMBIGUOUS_ID);
        }
        backend.fire(KEY, BackendEvent.LEAVING, BackendInput.NONE, now, NO_EFFECTS);
        return Optional.empty();
    }

    /**
     * Returns the incarnation of the server, as its heartbeats or the node's own row tell.
     *
     * @return the incarnation, or empty where none is known
     */
    public Optional<ServerIncarnation> incarnation() {
        return instance().data().server().map(KnownServer::incarnation);
    }

    /**
     * Returns the newest heartbeat of the incarnation.
     *
     * @return the heartbeat, or empty before the first one since this node started
     */
    public Optional<Heartbeat> lastHeartbeat() {
        return instance().data().lastHeartbeat();
    }

    /**
     * Returns whether the server accepts requests, has announced that it leaves, or is silent.
     *
     * @return the state of the server
     */
    public ServerState state() {
        if (instance().hasTag(BackendTag.LEAVING)) {
            return ServerState.DRAINING;
        }
        return isPresent() ? ServerState.READY : ServerState.LEFT;
    }

    /**
     * Returns whether a notice of the server has arrived recently.
     *
     * @return false after the silence timeout, and before the first notice
     */
    public boolean isPresent() {
        return instance().hasTag(BackendTag.PRESENT);
    }

    /**
     * Returns until when the server is cold, that is, not yet able to bear its full load.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long coldUntil() {
        return instance().data().coldUntil();
    }

    /**
     * Returns when this node first received notice that the server is leaving. The node acknowledges that notice, so
     * the server knows it from then on.
     *
     * @return the monotonic time, in nanoseconds; 0 if it is not leaving, and a time before the start of this node if
     *     an earlier process of the node received the notice
     */
    public long leavingSince() {
        return instance().data().leavingSince();
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     */
    public void advance(long now) {
        backend.advance(now, NO_EFFECTS);
    }

    /**
     * Returns when the next timer is due.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return backend.nextDue();
    }
}
