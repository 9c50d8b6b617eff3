package org.verbenamast.core.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.node.NodeCore;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.StoreFailure;
import org.verbenamast.core.store.StoreReply;

import static org.assertj.core.api.Assertions.assertThat;

class JoinTest {

    private static final MemberId SEED = Rows.member(1);
    private static final MemberId JOINER = Rows.member(2);
    private static final Address SEED_ADDRESS = new Address("10.0.0.9", 7000);
    private static final long START = Timing.millisToNanos(1);

    private final NodeCore seed = new NodeCore(Rows.settings(SEED, Rows.STOCK, List.of()));
    private final NodeCore joiner = new NodeCore(Rows.settings(JOINER, Rows.STOCK, List.of(SEED_ADDRESS)));

    @Test
    void should_learn_all_rows_from_a_seed_when_the_table_service_is_down() {
        List<Row> rows = List.of(
                Rows.memberRow(SEED, MemberStatus.ACTIVE, 3),
                Rows.chunkRow(0, 4, SEED, 2),
                Rows.chunkRow(1, 5, Rows.member(3), 2),
                Rows.memberRow(Rows.member(3), MemberStatus.ENDED, 2));
        seed.handle(new NodeInput.PeerReceived(SEED, new PeerMessage.RowPush(rows)), START);
        deliverAll(joiner.handle(new NodeInput.Tick(), START));
        assertThat(rows)
                .allSatisfy(row -> assertThat(joiner.directory().row(row.key())).isEqualTo(row));
    }

    @Test
    void should_read_the_tables_once_more_when_the_row_is_written() {
        joiner.handle(new NodeInput.Tick(), START);
        joiner.handle(new NodeInput.StoreReplied(1, new StoreReply.RowsRead(List.of())), START);
        joiner.handle(new NodeInput.StoreReplied(2, new StoreReply.RowsRead(List.of())), START);
        Row own = Rows.memberRow(JOINER, MemberStatus.ACTIVE, 1);
        joiner.rowListener().onRowWritten(own, START, effect -> {});
        joiner.rowListener().onRowWritten(Rows.memberRow(JOINER, MemberStatus.LEAVING, 2), START, effect -> {});
        assertThat(joiner.decisions().find(decision -> decision.chart().equals("reading")))
                .extracting("event")
                .containsExactly("START", "TABLE_READ", "TABLE_READ", "JOINED");
    }

    private void deliverAll(List<Effect> first) {
        Deque<Effect> pending = new ArrayDeque<>(first);
        while (!pending.isEmpty()) {
            Effect effect = pending.poll();
            if (effect instanceof Effect.CallStore call) {
                StoreReply down = new StoreReply.Failed(StoreFailure.UNAVAILABLE);
                pending.addAll(joiner.handle(new NodeInput.StoreReplied(call.callId(), down), START));
            } else if (effect instanceof Effect.SendToSeed send) {
                pending.addAll(peersOnly(seed.handle(new NodeInput.PeerReceived(JOINER, send.message()), START)));
            } else if (effect instanceof Effect.SendToPeer send) {
                pending.addAll(deliver(send));
            }
        }
    }

    private List<Effect> deliver(Effect.SendToPeer send) {
        return send.to().equals(JOINER)
                ? joiner.handle(new NodeInput.PeerReceived(SEED, send.message()), START)
                : peersOnly(seed.handle(new NodeInput.PeerReceived(JOINER, send.message()), START));
    }

    private static List<Effect> peersOnly(List<Effect> effects) {
        return effects.stream().filter(Effect.SendToPeer.class::isInstance).toList();
    }
}
