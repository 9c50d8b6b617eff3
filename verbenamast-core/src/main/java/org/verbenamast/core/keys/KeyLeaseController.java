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

/** The key lease of this node: its right to grant keys to the backend server beside it. */
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

    private final ChartInstances<String, KeyLeaseEvent, KeyLeaseData, KeyLeaseInput> keyLease;

    /**
     * Creates the controller of a node without a lease.
     *
     * @param timings the durations of lease and grants
     * @param service the service whose keys are granted
     * @param granter the incarnation of this node: a number that no earlier incarnation had
     * @param listener notified of each transition
     */
    public KeyLeaseController(KeyLeaseTimings timings, String service, long granter, TransitionListener listener) {
        this.keyLease =
                new ChartInstances<>(ChartReader.bundled("tenure", VOCABULARY), event -> KeyLeaseInput.NONE, listener);
        keyLease.begin(KEY, KeyLeaseData.initial(timings, service, granter), 0);
    }

    private Instance<KeyLeaseData> instance() {
        return keyLease.find(KEY);
    }

    /**
     * Handles the server incarnation that keys may be granted to; another one ends the lease for the previous
     * incarnation.
     *
     * @param incarnation the server incarnation
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onServerKnown(ServerIncarnation incarnation, long now, Effects effects) {
        boolean other = instance()
                .data()
                .incarnation()
                .filter(known -> !known.equals(incarnation))
                .isPresent();
        if (other) {
            onServerGone(now, effects);
        }
        keyLease.fire(KEY, KeyLeaseEvent.SERVER_KNOWN, KeyLeaseInput.server(incarnation), now, effects);
    }

    /**
     * Ends the lease, because the server has left or was lost.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onServerGone(long now, Effects effects) {
        keyLease.fire(KEY, KeyLeaseEvent.SERVER_GONE, KeyLeaseInput.NONE, now, effects);
    }

    /**
     * Clears the lease, because the process may have been suspended for longer than its clock shows.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onSuspended(long now, Effects effects) {
        keyLease.fire(KEY, KeyLeaseEvent.SUSPENDED, KeyLeaseInput.NONE, now, effects);
    }

    /**
     * Handles the result of a call to the store; ignores results of earlier calls than the last one.
     *
     * @param callId the number of the call
     * @param result the result of the call
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onStoreResult(long callId, StoreResult result, long now, Effects effects) {
        if (callId != instance().data().callId()) {
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
        keyLease.fire(KEY, event, input, now, effects);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        keyLease.advance(now, effects);
    }

    /**
     * Returns when {@link #advance} has to be called next.
     *
     * @return the due time, as monotonic time in nanoseconds
     */
    public long nextDue() {
        return keyLease.nextDue();
    }

    /**
     * Returns the time until the lease expires.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the time, in nanoseconds; 0 if this node holds no lease
     */
    public long leaseNanos(long now) {
        return instance().hasTag(KeyLeaseTag.GRANTING)
                ? Math.max(0, instance().data().validUntil() - now)
                : 0;
    }

    /**
     * Returns the duration for which keys can be granted now.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the duration on the server's clock, in milliseconds; 0 if no keys may be granted
     */
    public long grantMillis(long now) {
        KeyLeaseData data = instance().data();
        if (!instance().hasTag(KeyLeaseTag.GRANTING) || now >= data.validUntil()) {
            return 0;
        }
        long left = (data.validUntil() - now) / Timing.NANOS_PER_MILLI;
        return Math.max(0, Math.min(data.timings().grantMillis(), KeyLeaseTimings.minusDrift(left)));
    }
}
