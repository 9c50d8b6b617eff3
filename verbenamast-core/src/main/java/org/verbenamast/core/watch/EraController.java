package org.verbenamast.core.watch;

import java.util.Optional;

import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.rows.StoreVersion;

/**
 * The era of the store, and whether what the store lost with it has been written again. The store begins an era when it
 * comes back from an older copy.
 */
public final class EraController implements StoreEras {

    /** The names that the chart file can refer to. */
    public static final Vocabulary<EraEvent, EraGuard, EraAction, EraTimer, EraTag> VOCABULARY =
            new Vocabulary<>(EraEvent.class, EraGuard.class, EraAction.class, EraTimer.class, EraTag.class);

    private static final String KEY = "store";

    private final ChartInstances<String, EraEvent, EraData, EraInput> eras;

    /**
     * Creates the controller of a node that has heard nothing of the store.
     *
     * @param listener notified of each transition
     */
    public EraController(TransitionListener listener) {
        this.eras =
                new ChartInstances<>(ChartReader.bundled("store-era", VOCABULARY), event -> EraInput.NONE, listener);
        eras.begin(KEY, EraData.INITIAL, 0);
    }

    private Instance<EraData> instance() {
        return eras.find(KEY);
    }

    /**
     * Handles the era that an answer or another node tells.
     *
     * @param era the era
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     * @return whether the era is new to this node
     */
    public boolean onEra(long era, long now, Effects effects) {
        boolean isNew = era > era();
        if (isNew) {
            eras.fire(KEY, EraEvent.NEW_ERA, new EraInput(era, Optional.empty()), now, effects);
        }
        return isNew;
    }

    /**
     * Handles a reading of a whole table.
     *
     * @param table the table
     * @param version the store's version as of the reading, which is of the era known
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onTableRead(FollowedTable table, long version, long now, Effects effects) {
        if (StoreVersion.ofPacked(version).era() == era()) {
            eras.fire(KEY, EraEvent.TABLE_READ, new EraInput(0, Optional.of(table)), now, effects);
        }
    }

    @Override
    public long era() {
        return instance().data().era();
    }

    @Override
    public boolean isFirst() {
        return instance().data().first();
    }

    @Override
    public boolean isConfirmed() {
        return instance().hasTag(EraTag.CONFIRMED);
    }

    @Override
    public long learnedAt() {
        return instance().data().learnedAt();
    }

    @Override
    public long confirmedAt() {
        return instance().data().confirmedAt();
    }

    /**
     * Fires the timer if it is due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        eras.advance(now, effects);
    }

    long nextDue() {
        return eras.nextDue();
    }
}
