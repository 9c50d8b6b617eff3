package org.verbenamast.core.keys;

import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoreResult;

/** The right of this node to grant keys to the backend server beside it. */
public final class KeyLeaseController {

    /** The names that the chart file may use. */
    public static final Vocabulary<KeyLeaseEvent, KeyLeaseGuard, KeyLeaseAction, KeyLeaseTimer, KeyLeaseTag>
            VOCABULARY = new Vocabulary<>(
                    KeyLeaseEvent.class,
                    KeyLeaseGuard.class,
                    KeyLeaseAction.class,
                    KeyLeaseTimer.class,
                    KeyLeaseTag.class);

    private static final String KEY = "tenure";

    private final ChartInstances<String, KeyLeaseEvent, KeyLeaseData, KeyLeaseInput> tenure;

    /**
     * Makes the desk of a node that grants nothing yet.
     *
     * @param terms the time-outs
     * @param service the service whose keys are granted
     * @param granter the run of this node, a number that no earlier run had
     * @param listener is told of each transition
     */
    public KeyLeaseController(KeyLeaseTimings terms, String service, long granter, TransitionListener listener) {
        this.tenure =
                new ChartInstances<>(ChartReader.bundled("tenure", VOCABULARY), event -> KeyLeaseInput.NONE, listener);
        tenure.begin(KEY, KeyLeaseData.none(terms, service, granter), 0);
    }

    private Instance<KeyLeaseData> instance() {
        return tenure.find(KEY);
    }

    /**
     * Takes the run of the server that keys may be granted to.
     *
     * @param life the run
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void serverKnown(ServerIncarnation life, long now, Effects effects) {
        boolean other =
                instance().data().life().filter(known -> !known.equals(life)).isPresent();
        if (other) {
            serverGone(now, effects);
        }
        tenure.fire(KEY, KeyLeaseEvent.SERVER_KNOWN, KeyLeaseInput.server(life), now, effects);
    }

    /**
     * Ends the tenure: the server has left or was lost.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void serverGone(long now, Effects effects) {
        tenure.fire(KEY, KeyLeaseEvent.SERVER_GONE, KeyLeaseInput.NONE, now, effects);
    }

    /**
     * Lets the lease lapse: the process may have stood still for longer than its clock tells.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void suspended(long now, Effects effects) {
        tenure.fire(KEY, KeyLeaseEvent.SUSPENDED, KeyLeaseInput.NONE, now, effects);
    }

    /**
     * Takes the result of a call to the store.
     *
     * @param ticket the call's number
     * @param result the result
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void stored(long ticket, StoreResult result, long now, Effects effects) {
        if (ticket != instance().data().ticket()) {
            return;
        }
        if (result instanceof StoreResult.Committed committed) {
            fire(KeyLeaseEvent.WRITTEN, KeyLeaseInput.written(committed.version()), now, effects);
        } else if (result instanceof StoreResult.Conflicted) {
            fire(KeyLeaseEvent.CONFLICT, KeyLeaseInput.NONE, now, effects);
        } else if (result instanceof StoreResult.Read read && !read.rows().isEmpty()) {
            boolean lease = read.rows().get(0).ref().table() == RowTable.LEASES;
            KeyLeaseInput input = lease ? KeyLeaseInput.read(read.rows().get(0)) : KeyLeaseInput.NONE;
            fire(KeyLeaseEvent.READ, input, now, effects);
        } else if (result instanceof StoreResult.Failed) {
            fire(KeyLeaseEvent.FAILED, KeyLeaseInput.NONE, now, effects);
        }
    }

    private void fire(KeyLeaseEvent event, KeyLeaseInput input, long now, Effects effects) {
        tenure.fire(KEY, event, input, now, effects);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        tenure.advance(now, effects);
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return tenure.nextDue();
    }

    /**
     * Returns how long the lease still lasts.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the time, in nanoseconds; 0 where this node holds no lease
     */
    public long leaseNanos(long now) {
        return instance().hasTag(KeyLeaseTag.GRANTING)
                ? Math.max(0, instance().data().validUntil() - now)
                : 0;
    }

    /**
     * Returns how long keys granted now may be held.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the time by the server's own clock, in milliseconds; 0 where nothing may be granted
     */
    public long holdMillis(long now) {
        KeyLeaseData data = instance().data();
        if (!instance().hasTag(KeyLeaseTag.GRANTING) || now >= data.validUntil()) {
            return 0;
        }
        long left = (data.validUntil() - now) / Timing.NANOS_PER_MILLI;
        return Math.max(0, Math.min(data.terms().holdMillis(), KeyLeaseTimings.surelyWithin(left)));
    }
}
