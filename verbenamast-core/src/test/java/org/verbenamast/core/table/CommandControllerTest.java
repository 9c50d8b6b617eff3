package org.verbenamast.core.table;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.store.TableName;

import static org.assertj.core.api.Assertions.assertThat;

class CommandControllerTest {

    private static final TableContent HALF = content("stock/jkt/", 50, "40");
    private static final TableContent FULL = content("stock/jkt/", 100, "40");

    private final FakeStore tables = new FakeStore();
    private final OperatorControllers node = new OperatorControllers(1, LimitUsage.NONE);
    private long lastCall;

    private static TableContent content(String scope, int weight, String concurrency) {
        return new TableContent(
                List.of(new TableEntry(TableScope.parse(scope), weight, Limit.parse(concurrency), Limit.UNLIMITED)));
    }

    private CommandAnswer submit(ChangeCommand command) {
        node.submit(++lastCall, command);
        node.settle(tables);
        return node.answer(lastCall);
    }

    private void assertRefused(CommandAnswer answer, CommandFaultKind kind) {
        assertThat(answer.outcome()).isEqualTo(CommandOutcome.REFUSED);
        assertThat(answer.fault().kind()).isEqualTo(kind);
        assertThat(tables.rowsOf(TableName.TABLE)).as("the table is unchanged").isEmpty();
    }

    @Test
    void should_take_effect_when_both_organisations_signed() {
        submit(TestSigner.ANI.propose("o1", "c1", 0, HALF));
        assertThat(submit(TestSigner.BUDI.approve("o2", "c1", 0, HALF)).state()).isEqualTo("SIGNED_BY_ONE");
        CommandAnswer accepted = submit(TestSigner.RAMI.approve("o3", "c1", 0, HALF));
        assertThat(accepted.state()).isEqualTo("ACCEPTED");
        assertThat(accepted.version()).isEqualTo(1);
        assertThat(node.directory
                        .table()
                        .weights()
                        .of(OperatorControllers.STOCK.name(), OperatorControllers.JKT, new ServerName("s")))
                .isEqualTo(Weights.DEFAULT / 2);
        assertThat(tables.row(TableRow.versionKey(1)).value())
                .isEqualTo(tables.row(TableRow.KEY).value());
    }

    @Test
    void should_refuse_when_one_organisation_signs_twice() {
        submit(TestSigner.ANI.propose("o1", "c1", 0, HALF));
        submit(TestSigner.ANI.approve("o2", "c1", 0, HALF));
        assertRefused(submit(TestSigner.BUDI.approve("o3", "c1", 0, HALF)), CommandFaultKind.ALREADY_SIGNED);
    }

    @Test
    void should_refuse_when_the_signature_is_of_another_operator() {
        submit(TestSigner.ANI.propose("o1", "c1", 0, HALF));
        submit(TestSigner.ANI.approve("o2", "c1", 0, HALF));
        ChangeCommand namedRami = TestSigner.RAMI.approve("o3", "c1", 0, HALF);
        ChangeCommand forged = namedRami.withSignature(TestSigner.ANI.key().sign(namedRami.signedText()));
        assertRefused(submit(forged), CommandFaultKind.BAD_SIGNATURE);
    }

    @Test
    void should_refuse_when_a_signature_is_reused_for_another_change() {
        submit(TestSigner.ANI.propose("o1", "c1", 0, HALF));
        submit(TestSigner.ANI.propose("o2", "c2", 0, FULL));
        submit(TestSigner.ANI.approve("o3", "c2", 0, FULL));
        ChangeCommand intended = TestSigner.RAMI.approve("o4", "c1", 0, HALF);
        ChangeCommand reused = TestSigner.RAMI.approve("o4", "c2", 0, FULL).withSignature(intended.signature());
        assertRefused(submit(reused), CommandFaultKind.BAD_SIGNATURE);
    }

    @Test
    void should_lose_approvals_when_the_content_is_edited() {
        submit(TestSigner.ANI.propose("o1", "c1", 0, HALF));
        ChangeCommand early = TestSigner.RAMI.approve("o2", "c1", 0, HALF);
        submit(early);
        submit(TestSigner.ANI.edit("o3", "c1", 0, HALF, FULL));
        assertRefused(submit(TestSigner.ANI.approve("o4", "c1", 0, HALF)), CommandFaultKind.OTHER_CONTENT);
        submit(TestSigner.ANI.edit("o5", "c1", 0, FULL, HALF));
        assertThat(submit(early).outcome()).as("replayed").isEqualTo(CommandOutcome.REPEATED);
        assertThat(submit(TestSigner.ANI.approve("o6", "c1", 0, HALF)).state()).isEqualTo("SIGNED_BY_ONE");
        assertThat(submit(TestSigner.SALMA.approve("o7", "c1", 0, HALF)).state())
                .isEqualTo("ACCEPTED");
        TableRow accepted = (TableRow) tables.row(TableRow.KEY).value();
        assertThat(accepted.approvals()).extracting(Approval::operation).containsExactly("o6", "o7");
    }

    @Test
    void should_be_superseded_when_a_newer_version_was_accepted() {
        submit(TestSigner.ANI.propose("o1", "c1", 0, HALF));
        submit(TestSigner.ANI.propose("o2", "c2", 0, FULL));
        submit(TestSigner.ANI.approve("o3", "c2", 0, FULL));
        submit(TestSigner.RAMI.approve("o4", "c2", 0, FULL));
        CommandAnswer late = submit(TestSigner.RAMI.approve("o5", "c1", 0, HALF));
        assertThat(late.fault().kind()).isEqualTo(CommandFaultKind.STALE_BASE);
        assertThat(late.state()).isEqualTo("SUPERSEDED");
        assertThat(submit(TestSigner.ANI.propose("o6", "c3", 0, HALF)).fault().kind())
                .isEqualTo(CommandFaultKind.STALE_BASE);
    }

    @Test
    void should_refuse_when_the_wrong_organisation_withdraws_or_refuses() {
        submit(TestSigner.ANI.propose("o1", "c1", 0, HALF));
        ChangeCommand withdraw =
                TestSigner.RAMI.command(ChangeCommandKind.WITHDRAW, "o2", "c1", 0, HALF, ContentHash.NONE);
        ChangeCommand refuse = TestSigner.BUDI.command(ChangeCommandKind.REFUSE, "o3", "c1", 0, HALF, ContentHash.NONE);
        assertRefused(submit(withdraw), CommandFaultKind.WRONG_ORGANISATION);
        assertRefused(submit(refuse), CommandFaultKind.WRONG_ORGANISATION);
        ChangeCommand own = TestSigner.BUDI.command(ChangeCommandKind.WITHDRAW, "o4", "c1", 0, HALF, ContentHash.NONE);
        assertThat(submit(own).state()).isEqualTo("WITHDRAWN");
        assertRefused(submit(TestSigner.ANI.approve("o5", "c1", 0, HALF)), CommandFaultKind.NOT_OPEN);
    }

    @Test
    void should_name_row_and_column_when_rows_have_faults() {
        TableContent bad = content("stok/jogja/", 50, "40");
        CommandAnswer answer = submit(TestSigner.ANI.propose("o1", "c1", 0, bad));
        assertRefused(answer, CommandFaultKind.BAD_ROWS);
        assertThat(answer.rows())
                .extracting(TableFault::toString)
                .containsExactly(
                        "row 1, column service: found <stok>, wanted one of [stock]",
                        "row 1, column zone: found <jogja>, wanted one of [bdg, jkt]");
    }

    @Test
    void should_refuse_when_a_limit_is_below_what_is_in_use() {
        OperatorControllers busy = new OperatorControllers(2, scope -> 41);
        busy.submit(1, TestSigner.ANI.propose("o1", "c1", 0, HALF));
        busy.settle(tables);
        assertThat(busy.answer(1).rows())
                .extracting(TableFault::toString)
                .containsExactly("row 1, column concurrency: found <40>, wanted at least the 41 requests that run now");
    }

    @Test
    void should_refuse_when_the_content_is_not_what_was_signed() {
        ChangeCommand signed = TestSigner.ANI.propose("o1", "c1", 0, HALF);
        ChangeCommand swapped = new ChangeCommand(
                signed.kind(),
                signed.operation(),
                signed.operator(),
                signed.change(),
                signed.base(),
                signed.hash(),
                signed.replaces(),
                FULL,
                signed.reason(),
                signed.at(),
                signed.signature());
        assertRefused(submit(swapped), CommandFaultKind.HASH_MISMATCH);
    }

    @Test
    void should_report_unknown_effect_when_an_earlier_attempt_may_still_take_effect() {
        node.submit(9, TestSigner.ANI.propose("o1", "c1", 0, HALF));
        serveNext();
        serveNext();
        Effect.CallStore delayed = node.pendingCalls.remove(0);
        node.advanceMillis(1_000);
        OperatorControllers other = new OperatorControllers(2, LimitUsage.NONE);
        acceptChange(other, "c2", FULL);
        node.settle(tables);
        assertThat(node.answer(9).fault().kind()).isEqualTo(CommandFaultKind.EFFECT_UNKNOWN);
        tables.serve(delayed.request());
        assertThat(tables.row(ChangeRow.keyOf(new ChangeId("c1")))).isNotNull();
    }

    private void serveNext() {
        Effect.CallStore call = node.pendingCalls.remove(0);
        node.reply(call, tables.serve(call.request()));
    }

    private void acceptChange(OperatorControllers at, String change, TableContent content) {
        at.submit(1, TestSigner.ANI.propose("a1", change, 0, content));
        at.settle(tables);
        at.submit(2, TestSigner.ANI.approve("a2", change, 0, content));
        at.settle(tables);
        at.submit(3, TestSigner.RAMI.approve("a3", change, 0, content));
        at.settle(tables);
    }

    @Test
    void should_report_no_effect_when_the_store_is_down() {
        node.submit(9, TestSigner.ANI.propose("o1", "c1", 0, HALF));
        for (int i = 0; i < 60; i++) {
            node.advanceMillis(100);
        }
        assertRefused(node.answer(9), CommandFaultKind.STORE_UNAVAILABLE);
    }
}
