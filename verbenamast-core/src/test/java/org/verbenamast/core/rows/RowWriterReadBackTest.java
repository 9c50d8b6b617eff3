package org.verbenamast.core.rows;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.keys.KeyMap;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.StoreFailure;

import static org.assertj.core.api.Assertions.assertThat;

class RowWriterReadBackTest {

    private static final RowRef MAP = new RowRef(RowTable.KEYS, "stock");
    private static final RowRef LEASE = new RowRef(RowTable.LEASES, "server@1");

    private final List<Effect> effects = new ArrayList<>();
    private final RowReplica replica = new RowReplica(row -> {});
    private final KeyMap map = KeyMap.vacant("stock");
    private final long now = Timing.millisToNanos(1_000);
    private List<RowChange> changes =
            List.of(new RowChange(MAP, 0, Optional.of(map)), new RowChange(LEASE, 3, Optional.empty()));
    private final RowWriter writer =
            new RowWriter(StorePurpose.KEY_MAP, replica, at -> changes, TransitionListener.NONE);

    private StoreEffect.Commit commit() {
        return (StoreEffect.Commit) effects.get(0);
    }

    /** The transaction took effect, its answer was lost, and the read that follows shows the row as it was written. */
    @Test
    void should_send_rows_to_other_members_when_a_read_shows_that_the_store_has_committed_them() {
        // given
        writer.review(now, effects::add);
        writer.onStoreResult(commit().callId(), new StoreResult.Failed(StoreFailure.NO_ANSWER), now, effects::add);
        StoreEffect.Read read = (StoreEffect.Read) effects.get(1);

        // when
        changes = List.of();
        StoredRow written = new StoredRow(MAP, 9, Optional.of(map));
        writer.onStoreResult(read.callId(), new StoreResult.Read(List.of(written)), now, effects::add);

        // then
        assertThat(replica.find(MAP).version()).isEqualTo(9);
        assertThat(effects).last().isEqualTo(new BroadcastRows(List.of(written)));
    }
}
