package org.verbenamast.core.backend;

import java.util.Optional;

import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.roster.Heartbeat;
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
     * Creates a controller that has received no heartbeat.
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
     * Handles a heartbeat.
     *
     * @param heartbeat the heartbeat
     * @param now the monotonic time, in nanoseconds
     * @return whether it was applied; one of an earlier incarnation, or older than the newest of its own, is ignored
     */
    public boolean onHeartbeat(Heartbeat heartbeat, long now) {
        if (isOutdated(heartbeat)) {
            return false;
        }
        BackendEvent event = heartbeat.state() == ServerState.READY ? BackendEvent.READY : BackendEvent.LEAVING;
        backend.fire(KEY, event, new BackendInput(Optional.of(heartbeat)), now, NO_EFFECTS);
        return true;
    }

    private boolean isOutdated(Heartbeat heartbeat) {
        Optional<Heartbeat> last = instance().data().lastHeartbeat();
        if (last.isEmpty()) {
            return false;
        }
        if (last.get().incarnation().equals(heartbeat.incarnation())) {
            return heartbeat.sequence() <= last.get().sequence();
        }
        return heartbeat.incarnation().startedAt() < last.get().incarnation().startedAt();
    }

    /**
     * Handles the notice that a server incarnation is leaving.
     *
     * @param id the id of the incarnation
     * @param now the monotonic time, in nanoseconds
     * @return whether this incarnation is the one known
     */
    public boolean onServerLeaving(String id, long now) {
        boolean known = incarnation().filter(current -> current.id().equals(id)).isPresent();
        if (known) {
            backend.fire(KEY, BackendEvent.LEAVING, BackendInput.NONE, now, NO_EFFECTS);
        }
        return known;
    }

    /**
     * Returns the incarnation of the server that sent the newest heartbeat.
     *
     * @return the incarnation, or empty before the first heartbeat
     */
    public Optional<ServerIncarnation> incarnation() {
        return instance().data().lastHeartbeat().map(Heartbeat::incarnation);
    }

    /**
     * Returns the newest heartbeat.
     *
     * @return the heartbeat, or empty before the first one
     */
    public Optional<Heartbeat> lastHeartbeat() {
        return instance().data().lastHeartbeat();
    }

    /**
     * Returns whether the server is ready, draining or gone.
     *
     * @return the state of the server
     */
    public ServerState state() {
        if (!instance().hasTag(BackendTag.PRESENT)) {
            return ServerState.LEFT;
        }
        return instance().hasTag(BackendTag.LEAVING) ? ServerState.DRAINING : ServerState.READY;
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
     * @return the monotonic time, in nanoseconds; 0 if it is not leaving
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
