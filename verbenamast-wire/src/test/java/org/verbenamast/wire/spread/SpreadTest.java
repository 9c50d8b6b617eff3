package org.verbenamast.wire.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.membership.MemberStatus;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.ownership.GrantOrigin;
import org.verbenamast.core.ownership.SliceGrant;
import org.verbenamast.core.store.Row;

import static org.assertj.core.api.Assertions.assertThat;

class SpreadTest {

    private static final int FLEET = 1_700;
    private static final long SEED = 20_261_204;
    private static final double LOSS = 0.05;
    private static final Duration SPREAD_BOUND = Duration.ofSeconds(3);
    private static final Duration STEP = Duration.ofMillis(50);
    private static final long BYTES_PER_SECOND_BOUND = 6_000;
    private static final int CHUNK_WRITES = 10;

    private final SpreadFleet fleet = new SpreadFleet(FLEET, LOSS, SEED);

    @Test
    void should_reach_every_node_within_the_bounds_when_a_row_is_written_each_second() {
        fleet.runFor(Duration.ofSeconds(5));
        long idleBytes = bytes();
        Duration slowest = Duration.ZERO;
        long start = fleet.now();
        for (int write = 0; write < CHUNK_WRITES; write++) {
            long next = fleet.now() + Duration.ofSeconds(1).toNanos();
            slowest = max(slowest, spreadTime(write, chunkRow(write % 4, 1 + write / 4)));
            fleet.runFor(Duration.ofNanos(Math.max(0, next - fleet.now())));
        }
        long seconds = Duration.ofNanos(fleet.now() - start).toSeconds();
        long busy = (bytes() - idleBytes) / FLEET / seconds;
        long most = fleet.nodes().stream().mapToLong(SpreadNode::bytes).max().orElseThrow() / (seconds + 5);
        System.out.printf(
                "spread: slowest %d ms; bytes per node and second: idle %d, one chunk row a second %d, most %d%n",
                slowest.toMillis(), idleBytes / FLEET / 5, busy, most);
        assertThat(slowest).isLessThanOrEqualTo(SPREAD_BOUND);
        assertThat(busy).isLessThanOrEqualTo(BYTES_PER_SECOND_BOUND);
        assertThat(most).isLessThanOrEqualTo(BYTES_PER_SECOND_BOUND);
    }

    @Test
    void should_bring_nothing_back_when_a_node_missed_the_end_of_a_member() {
        MemberId gone = fleet.nodes().get(FLEET - 1).id();
        Row ended = SpreadFleet.memberRow(gone, MemberStatus.ENDED, 2);
        fleet.nodes().stream().limit(FLEET - 2).forEach(node -> node.directory().apply(ended));
        fleet.runFor(SPREAD_BOUND);
        assertThat(fleet.knowing(ended)).isEqualTo(FLEET);
        assertThat(fleet.nodes()).allMatch(node -> node.directory().hasEnded(gone));
    }

    private Duration spreadTime(int writer, Row row) {
        long start = fleet.now();
        fleet.write(writer, row);
        while (fleet.knowing(row) < FLEET && fleet.now() - start < 2 * SPREAD_BOUND.toNanos()) {
            fleet.runFor(STEP);
        }
        return Duration.ofNanos(fleet.now() - start);
    }

    private Row chunkRow(int chunk, long version) {
        List<SliceGrant> grants = new ArrayList<>();
        for (int i = 0; i < SpreadNode.STOCK.chunkSlices(); i++) {
            grants.add(new SliceGrant(fleet.nodes().get(i).id(), version, GrantOrigin.HANDED_OVER));
        }
        ChunkRow value = new ChunkRow(SpreadNode.STOCK.name(), chunk, grants, "stock-0~1/own/" + version);
        return new Row(ChunkRow.keyOf(value.service(), chunk), version, value);
    }

    private long bytes() {
        return fleet.nodes().stream().mapToLong(SpreadNode::bytes).sum();
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? b : a;
    }
}
