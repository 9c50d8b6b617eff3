package org.verbenamast.core.ownership;

import java.util.List;

import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.Rows;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.RowListener;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.StoreController;
import org.verbenamast.core.store.StoreRetryPolicy;

/** One member: its slices, its directory and its calls to the table service. */
final class OwnerNode implements RowListener {

    private final MemberId id;
    private final Directory directory;
    private final StoreController store;
    private final OwnershipController ownership;
    private final OwnerFleet fleet;
    private boolean alive = true;

    OwnerNode(MemberId id, ServiceSettings service, OwnershipRules rules, OwnerFleet fleet) {
        this.id = id;
        this.fleet = fleet;
        CoreSettings settings = Rows.settings(id, service, List.of());
        this.directory = new Directory(List.of(service));
        this.store = new StoreController(
                new StoreRetryPolicy(Timing.millisToNanos(settings.timing().storeTimeoutMillis()), settings.seed()),
                TransitionListener.NONE);
        this.ownership =
                new OwnershipController(settings, directory, store, rules, now -> alive, this, TransitionListener.NONE);
    }

    MemberId id() {
        return id;
    }

    Directory directory() {
        return directory;
    }

    StoreController store() {
        return store;
    }

    OwnershipController ownership() {
        return ownership;
    }

    boolean alive() {
        return alive;
    }

    void stop() {
        alive = false;
    }

    void applyRow(Row row, long now, Effects effects) {
        if (alive && directory.apply(row)) {
            ownership.onRow(row, now, effects);
        }
    }

    void advance(long now, Effects effects) {
        store.advance(now, effects);
        ownership.advance(now, effects);
    }

    @Override
    public void onRowWritten(Row row, long now, Effects effects) {
        applyRow(row, now, effects);
        fleet.gossip(row);
    }

    @Override
    public void onRowRead(Row row, long now, Effects effects) {
        applyRow(row, now, effects);
    }
}
