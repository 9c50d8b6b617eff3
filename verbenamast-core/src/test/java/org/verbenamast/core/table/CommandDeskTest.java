package org.verbenamast.core.table;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.store.TableName;

import static org.assertj.core.api.Assertions.assertThat;

class CommandDeskTest {

    private static final TableContent HALF = content("stock/jkt/", 50, "40");
    private static final TableContent FULL = content("stock/jkt/", 100, "40");

    private final FakeStore tables = new FakeStore();
    private final Desks node = new Desks(1, TableUse.NONE);
    private long lastCall;

    private static TableContent content(String scope, int weight, String concurrency) {
        return new TableContent(
                List.of(new TableEntry(TableScope.parse(scope), weight, Limit.parse(concurrency), Limit.UNLIMITED)));
    }

    private CommandAnswer give(ChangeCommand command) {
        node.submit(++lastCall, command);
        node.settle(tables);
        return node.answer(lastCall);
    }

    private void assertRefused(CommandAnswer answer, CommandFaultKind kind) {
        assertThat(answer.outcome()).isEqualTo(CommandOutcome.REFUSED);
        assertThat(answer.fault().kind()).isEqualTo(kind);
        assertThat(tables.all(TableName.TABLE)).as("the table is unchanged").isEmpty();
    }

    @Test
    void should_take_force_when_both_organisations_signed() {
        give(Pen.ANI.propose("o1", "c1", 0, HALF));
        assertThat(give(Pen.BUDI.approve("o2", "c1", 0, HALF)).state()).isEqualTo("SIGNED_BY_ONE");
        CommandAnswer accepted = give(Pen.RAMI.approve("o3", "c1", 0, HALF));
        assertThat(accepted.state()).isEqualTo("ACCEPTED");
        assertThat(accepted.version()).isEqualTo(1);
        assertThat(node.directory.table().weights().of(Desks.STOCK.name(), Desks.JKT, new ServerName("s")))
                .isEqualTo(Weights.USUAL / 2);
        assertThat(tables.row(TableRow.keptKey(1)).value())
                .isEqualTo(tables.row(TableRow.KEY).value());
    }

    @Test
    void should_refuse_when_one_organisation_signs_twice() {
        give(Pen.ANI.propose("o1", "c1", 0, HALF));
        give(Pen.ANI.approve("o2", "c1", 0, HALF));
        assertRefused(give(Pen.BUDI.approve("o3", "c1", 0, HALF)), CommandFaultKind.ALREADY_SIGNED);
    }

    @Test
    void should_refuse_when_the_signature_is_of_another_operator() {
        give(Pen.ANI.propose("o1", "c1", 0, HALF));
        give(Pen.ANI.approve("o2", "c1", 0, HALF));
        ChangeCommand inRamisName = Pen.RAMI.approve("o3", "c1", 0, HALF);
        ChangeCommand forged = inRamisName.signed(Pen.ANI.key().sign(inRamisName.signedText()));
        assertRefused(give(forged), CommandFaultKind.BAD_SIGNATURE);
    }

    @Test
    void should_refuse_when_a_signature_is_carried_to_another_change() {
        give(Pen.ANI.propose("o1", "c1", 0, HALF));
        give(Pen.ANI.propose("o2", "c2", 0, FULL));
        give(Pen.ANI.approve("o3", "c2", 0, FULL));
        ChangeCommand meant = Pen.RAMI.approve("o4", "c1", 0, HALF);
        ChangeCommand carried = Pen.RAMI.approve("o4", "c2", 0, FULL).signed(meant.signature());
        assertRefused(give(carried), CommandFaultKind.BAD_SIGNATURE);
    }

    @Test
    void should_lose_approvals_when_the_content_is_edited() {
        give(Pen.ANI.propose("o1", "c1", 0, HALF));
        ChangeCommand early = Pen.RAMI.approve("o2", "c1", 0, HALF);
        give(early);
        give(Pen.ANI.edit("o3", "c1", 0, HALF, FULL));
        assertRefused(give(Pen.ANI.approve("o4", "c1", 0, HALF)), CommandFaultKind.OTHER_CONTENT);
        give(Pen.ANI.edit("o5", "c1", 0, FULL, HALF));
        assertThat(give(early).outcome()).as("replayed").isEqualTo(CommandOutcome.REPEATED);
        assertThat(give(Pen.ANI.approve("o6", "c1", 0, HALF)).state()).isEqualTo("SIGNED_BY_ONE");
        assertThat(give(Pen.SALMA.approve("o7", "c1", 0, HALF)).state()).isEqualTo("ACCEPTED");
        TableRow accepted = (TableRow) tables.row(TableRow.KEY).value();
        assertThat(accepted.approvals()).extracting(Approval::operation).containsExactly("o6", "o7");
    }

    @Test
    void should_be_superseded_when_the_table_moved_on() {
        give(Pen.ANI.propose("o1", "c1", 0, HALF));
        give(Pen.ANI.propose("o2", "c2", 0, FULL));
        give(Pen.ANI.approve("o3", "c2", 0, FULL));
        give(Pen.RAMI.approve("o4", "c2", 0, FULL));
        CommandAnswer late = give(Pen.RAMI.approve("o5", "c1", 0, HALF));
        assertThat(late.fault().kind()).isEqualTo(CommandFaultKind.STALE_BASE);
        assertThat(late.state()).isEqualTo("SUPERSEDED");
        assertThat(give(Pen.ANI.propose("o6", "c3", 0, HALF)).fault().kind()).isEqualTo(CommandFaultKind.STALE_BASE);
    }

    @Test
    void should_refuse_when_the_wrong_organisation_withdraws_or_refuses() {
        give(Pen.ANI.propose("o1", "c1", 0, HALF));
        ChangeCommand withdraw = Pen.RAMI.command(ChangeCommandKind.WITHDRAW, "o2", "c1", 0, HALF, ContentHash.NONE);
        ChangeCommand refuse = Pen.BUDI.command(ChangeCommandKind.REFUSE, "o3", "c1", 0, HALF, ContentHash.NONE);
        assertRefused(give(withdraw), CommandFaultKind.WRONG_ORGANISATION);
        assertRefused(give(refuse), CommandFaultKind.WRONG_ORGANISATION);
        ChangeCommand own = Pen.BUDI.command(ChangeCommandKind.WITHDRAW, "o4", "c1", 0, HALF, ContentHash.NONE);
        assertThat(give(own).state()).isEqualTo("WITHDRAWN");
        assertRefused(give(Pen.ANI.approve("o5", "c1", 0, HALF)), CommandFaultKind.NOT_OPEN);
    }

    @Test
    void should_name_row_and_column_when_rows_have_faults() {
        TableContent bad = content("stok/jogja/", 50, "40");
        CommandAnswer answer = give(Pen.ANI.propose("o1", "c1", 0, bad));
        assertRefused(answer, CommandFaultKind.BAD_ROWS);
        assertThat(answer.rows())
                .extracting(TableFault::toString)
                .containsExactly(
                        "row 1, column service: found <stok>, wanted one of [stock]",
                        "row 1, column zone: found <jogja>, wanted one of [bdg, jkt]");
    }

    @Test
    void should_refuse_when_a_limit_is_below_what_is_in_use() {
        Desks busy = new Desks(2, scope -> 41);
        busy.submit(1, Pen.ANI.propose("o1", "c1", 0, HALF));
        busy.settle(tables);
        assertThat(busy.answer(1).rows())
                .extracting(TableFault::toString)
                .containsExactly("row 1, column concurrency: found <40>, wanted at least the 41 requests that run now");
    }

    @Test
    void should_refuse_when_the_content_is_not_what_was_signed() {
        ChangeCommand signed = Pen.ANI.propose("o1", "c1", 0, HALF);
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
        assertRefused(give(swapped), CommandFaultKind.HASH_MISMATCH);
    }

    @Test
    void should_not_say_refused_when_an_earlier_try_may_still_take_effect() {
        node.submit(9, Pen.ANI.propose("o1", "c1", 0, HALF));
        serveNext();
        serveNext();
        Effect.CallStore late = node.calls.remove(0);
        node.pass(1_000);
        Desks other = new Desks(2, TableUse.NONE);
        accept(other, "c2", FULL);
        node.settle(tables);
        assertThat(node.answer(9).fault().kind()).isEqualTo(CommandFaultKind.EFFECT_UNKNOWN);
        tables.serve(late.request());
        assertThat(tables.row(ChangeRow.keyOf(new ChangeId("c1")))).isNotNull();
    }

    private void serveNext() {
        Effect.CallStore call = node.calls.remove(0);
        node.reply(call, tables.serve(call.request()));
    }

    private void accept(Desks at, String change, TableContent content) {
        at.submit(1, Pen.ANI.propose("a1", change, 0, content));
        at.settle(tables);
        at.submit(2, Pen.ANI.approve("a2", change, 0, content));
        at.settle(tables);
        at.submit(3, Pen.RAMI.approve("a3", change, 0, content));
        at.settle(tables);
    }

    @Test
    void should_say_that_nothing_happened_when_the_store_is_down() {
        node.submit(9, Pen.ANI.propose("o1", "c1", 0, HALF));
        for (int i = 0; i < 60; i++) {
            node.pass(100);
        }
        assertRefused(node.answer(9), CommandFaultKind.STORE_UNAVAILABLE);
    }
}
