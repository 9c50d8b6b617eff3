package org.verbenamast.core.table;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberStatus;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.store.Row;

import static org.assertj.core.api.Assertions.assertThat;

class MarkControllerTest {

    private static final MarkRow OUT = TestSigner.RAMI.mark(MarkState.OUT, "zone.jkt", 1, "m1");
    private static final MarkRow IN = TestSigner.ANI.mark(MarkState.IN, "zone.jkt", 2, "m2");

    private final FakeStore tables = new FakeStore();
    private final OperatorControllers node = new OperatorControllers(1, LimitUsage.NONE);
    private final MemberRow member = member("node-2", 1);

    private static MemberRow member(String name, int port) {
        return new MemberRow(
                new MemberId(name, 1),
                OperatorControllers.STOCK.name(),
                OperatorControllers.JKT,
                new Address("127.0.0.1", port),
                MemberStatus.ACTIVE,
                List.of(),
                "s",
                1,
                "o");
    }

    private void joinMembers() {
        for (int i = 2; i < 9; i++) {
            MemberRow other = member("node-" + i, i);
            node.onRow(new Row(MemberRow.keyOf(other.id()), 1, other));
        }
    }

    private CommandAnswer submit(long call, MarkRow mark) {
        node.submit(call, mark);
        node.settle(tables);
        return node.answer(call);
    }

    private void advanceWithStoreDown(long millis) {
        for (long passed = 0; passed < millis; passed += 100) {
            node.pendingCalls.clear();
            node.advanceMillis(100);
        }
    }

    @Test
    void should_take_effect_at_once_when_work_is_removed_and_the_store_is_down() {
        joinMembers();
        node.submit(1, OUT);
        assertThat(node.directory.marks().isOut(member)).isTrue();
        assertThat(node.sentMessages).hasSize(4).containsOnly(new PeerMessage.MarkPush(OUT));
        advanceWithStoreDown(1_200);
        assertThat(node.answer(1).outcome()).isEqualTo(CommandOutcome.IN_FORCE_NOT_DURABLE);
        assertThat(node.marks.isDurable(OUT)).isFalse();
        node.settle(tables);
        assertThat(node.marks.isDurable(OUT)).isTrue();
        assertThat(tables.row(MarkRow.keyOf(OUT.subject())).value()).isEqualTo(OUT);
    }

    @Test
    void should_be_written_by_a_peer_when_the_accepting_node_is_lost() {
        node.onMarkPush(OUT);
        assertThat(node.directory.marks().isOut(OperatorControllers.JKT)).isTrue();
        advanceWithStoreDown(40_000);
        node.settle(tables);
        assertThat(tables.row(MarkRow.keyOf(OUT.subject())).value()).isEqualTo(OUT);
    }

    @Test
    void should_stay_out_when_the_store_does_not_confirm_the_return() {
        submit(1, OUT);
        node.submit(2, IN);
        advanceWithStoreDown(1_200);
        assertThat(node.answer(2).outcome()).isEqualTo(CommandOutcome.UNKNOWN);
        assertThat(node.directory.marks().isOut(OperatorControllers.JKT)).isTrue();
        assertThat(submit(3, IN).outcome()).isEqualTo(CommandOutcome.DONE);
        assertThat(node.directory.marks().isOut(OperatorControllers.JKT)).isFalse();
    }

    @Test
    void should_not_revert_when_older_marks_arrive_late() {
        submit(1, OUT);
        submit(2, IN);
        node.onMarkPush(OUT);
        assertThat(node.directory.marks().isOut(OperatorControllers.JKT)).isFalse();
        assertThat(submit(3, OUT).fault().kind()).isEqualTo(CommandFaultKind.STALE_MARK);
    }

    @Test
    void should_remove_work_when_two_marks_have_one_counter() {
        MarkRow out = TestSigner.ANI.mark(MarkState.OUT, "zone.jkt", 2, "m3");
        submit(1, OUT);
        submit(2, IN);
        node.onMarkPush(out);
        assertThat(node.directory.marks().isOut(OperatorControllers.JKT)).isTrue();
        advanceWithStoreDown(40_000);
        node.settle(tables);
        assertThat(tables.row(MarkRow.keyOf(OUT.subject())).value()).isEqualTo(out);
    }

    @Test
    void should_refuse_when_the_mark_is_forged() {
        MarkRow forged = OUT.withSignature(TestSigner.ANI.key().sign(OUT.signedText()));
        assertThat(submit(1, forged).fault().kind()).isEqualTo(CommandFaultKind.BAD_SIGNATURE);
        node.onMarkPush(forged);
        node.onMarkPush(TestSigner.ANI.mark(MarkState.IN, "zone.bdg", 9, "m9"));
        assertThat(node.directory.marks().all()).isEmpty();
    }

    @Test
    void should_refuse_when_the_subject_is_unknown() {
        CommandAnswer answer = submit(1, TestSigner.ANI.mark(MarkState.OUT, "zone.jogja", 1, "m1"));
        assertThat(answer.fault().kind()).isEqualTo(CommandFaultKind.UNKNOWN_SUBJECT);
    }

    @Test
    void should_have_one_effect_when_the_command_is_repeated() {
        submit(1, OUT);
        assertThat(submit(2, OUT).outcome()).isEqualTo(CommandOutcome.REPEATED);
        assertThat(tables.row(MarkRow.keyOf(OUT.subject())).version()).isEqualTo(1);
    }

    @Test
    void should_be_closed_when_two_seconds_have_passed() {
        node.submit(1, OUT);
        node.advanceMillis(1_900);
        assertThat(node.directory.marks().isClosed(member)).isFalse();
        node.advanceMillis(100);
        assertThat(node.directory.marks().isClosed(member)).isTrue();
    }
}
