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

/** The server beside this node: which run of it is there and whether it wants work. */
public final class BackendController {

    /** The names that the chart file may use. */
    public static final Vocabulary<BackendEvent, BackendGuard, BackendAction, BackendTimer, BackendTag> VOCABULARY =
            new Vocabulary<>(
                    BackendEvent.class, BackendGuard.class, BackendAction.class, BackendTimer.class, BackendTag.class);

    private static final String KEY = "backend";
    private static final Effects NO_EFFECTS = effect -> {};

    private final ChartInstances<String, BackendEvent, BackendData, BackendInput> backend;

    /**
     * Makes the desk of a node that has heard of no server.
     *
     * @param listener is told of each transition
     */
    public BackendController(TransitionListener listener) {
        this.backend =
                new ChartInstances<>(ChartReader.bundled("backend", VOCABULARY), event -> BackendInput.NONE, listener);
        backend.begin(KEY, BackendData.none(), 0);
    }

    private Instance<BackendData> instance() {
        return backend.find(KEY);
    }

    /**
     * Takes a heartbeat.
     *
     * @param beat the heartbeat
     * @param now the monotonic time, in nanoseconds
     * @return whether it is news: one of an earlier run, or one that an other has overtaken, changes nothing
     */
    public boolean heartbeat(Heartbeat beat, long now) {
        if (isOutdated(beat)) {
            return false;
        }
        BackendEvent event = beat.state() == ServerState.READY ? BackendEvent.READY : BackendEvent.LEAVING;
        backend.fire(KEY, event, new BackendInput(Optional.of(beat)), now, NO_EFFECTS);
        return true;
    }

    private boolean isOutdated(Heartbeat beat) {
        Optional<Heartbeat> last = instance().data().last();
        if (last.isEmpty()) {
            return false;
        }
        if (last.get().life().equals(beat.life())) {
            return beat.sequence() <= last.get().sequence();
        }
        return beat.life().startedAt() < last.get().life().startedAt();
    }

    /**
     * Takes the farewell of a run of the server.
     *
     * @param id the id that the run had
     * @param now the monotonic time, in nanoseconds
     * @return whether this run is the one known
     */
    public boolean farewell(String id, long now) {
        boolean known = life().filter(life -> life.id().equals(id)).isPresent();
        if (known) {
            backend.fire(KEY, BackendEvent.LEAVING, BackendInput.NONE, now, NO_EFFECTS);
        }
        return known;
    }

    /**
     * Returns the run of the server that spoke last.
     *
     * @return the run, or nothing where none has spoken
     */
    public Optional<ServerIncarnation> life() {
        return instance().data().last().map(Heartbeat::life);
    }

    /**
     * Returns the newest heartbeat.
     *
     * @return the heartbeat, or nothing where none came
     */
    public Optional<Heartbeat> last() {
        return instance().data().last();
    }

    /**
     * Returns whether the server takes work.
     *
     * @return its state
     */
    public ServerState state() {
        if (!instance().hasTag(BackendTag.PRESENT)) {
            return ServerState.LEFT;
        }
        return instance().hasTag(BackendTag.LEAVING) ? ServerState.DRAINING : ServerState.READY;
    }

    /**
     * Returns until when the server is cold.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long coldUntil() {
        return instance().data().coldUntil();
    }

    /**
     * Returns since when the server knows that its leaving is known.
     *
     * @return the monotonic time, in nanoseconds; 0 where it stays
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
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return backend.nextDue();
    }
}
