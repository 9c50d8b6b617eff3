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
    private final Controllers node = new Controllers(1, TableUse.NONE);
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
        give(TestSigner.ANI.propose("o1", "c1", 0, HALF));
        assertThat(give(TestSigner.BUDI.approve("o2", "c1", 0, HALF)).state()).isEqualTo("SIGNED_BY_ONE");
        CommandAnswer accepted = give(TestSigner.RAMI.approve("o3", "c1", 0, HALF));
        assertThat(accepted.state()).isEqualTo("ACCEPTED");
        assertThat(accepted.version()).isEqualTo(1);
        assertThat(node.directory.table().weights().of(Controllers.STOCK.name(), Controllers.JKT, new ServerName("s")))
                .isEqualTo(Weights.USUAL / 2);
        assertThat(tables.row(TableRow.keptKey(1)).value())
                .isEqualTo(tables.row(TableRow.KEY).value());
    }

    @Test
    void should_refuse_when_one_organisation_signs_twice() {
        give(TestSigner.ANI.propose("o1", "c1", 0, HALF));
        give(TestSigner.ANI.approve("o2", "c1", 0, HALF));
        assertRefused(give(TestSigner.BUDI.approve("o3", "c1", 0, HALF)), CommandFaultKind.ALREADY_SIGNED);
    }

    @Test
    void should_refuse_when_the_signature_is_of_another_operator() {
        give(TestSigner.ANI.propose("o1", "c1", 0, HALF));
        give(TestSigner.ANI.approve("o2", "c1", 0, HALF));
        ChangeCommand inRamisName = TestSigner.RAMI.approve("o3", "c1", 0, HALF);
        ChangeCommand forged = inRamisName.signed(TestSigner.ANI.key().sign(inRamisName.signedText()));
        assertRefused(give(forged), CommandFaultKind.BAD_SIGNATURE);
    }

    @Test
    void should_refuse_when_a_signature_is_carried_to_another_change() {
        give(TestSigner.ANI.propose("o1", "c1", 0, HALF));
        give(TestSigner.ANI.propose("o2", "c2", 0, FULL));
        give(TestSigner.ANI.approve("o3", "c2", 0, FULL));
        ChangeCommand meant = TestSigner.RAMI.approve("o4", "c1", 0, HALF);
        ChangeCommand carried = TestSigner.RAMI.approve("o4", "c2", 0, FULL).signed(meant.signature());
        assertRefused(give(carried), CommandFaultKind.BAD_SIGNATURE);
    }

    @Test
    void should_lose_approvals_when_the_content_is_edited() {
        give(TestSigner.ANI.propose("o1", "c1", 0, HALF));
        ChangeCommand early = TestSigner.RAMI.approve("o2", "c1", 0, HALF);
        give(early);
        give(TestSigner.ANI.edit("o3", "c1", 0, HALF, FULL));
        assertRefused(give(TestSigner.ANI.approve("o4", "c1", 0, HALF)), CommandFaultKind.OTHER_CONTENT);
        give(TestSigner.ANI.edit("o5", "c1", 0, FULL, HALF));
        assertThat(give(early).outcome()).as("replayed").isEqualTo(CommandOutcome.REPEATED);
        assertThat(give(TestSigner.ANI.approve("o6", "c1", 0, HALF)).state()).isEqualTo("SIGNED_BY_ONE");
        assertThat(give(TestSigner.SALMA.approve("o7", "c1", 0, HALF)).state()).isEqualTo("ACCEPTED");
        TableRow accepted = (TableRow) tables.row(TableRow.KEY).value();
        assertThat(accepted.approvals()).extracting(Approval::operation).containsExactly("o6", "o7");
    }

    @Test
    void should_be_superseded_when_the_table_moved_on() {
        give(TestSigner.ANI.propose("o1", "c1", 0, HALF));
        give(TestSigner.ANI.propose("o2", "c2", 0, FULL));
        give(TestSigner.ANI.approve("o3", "c2", 0, FULL));
        give(TestSigner.RAMI.approve("o4", "c2", 0, FULL));
        CommandAnswer late = give(TestSigner.RAMI.approve("o5", "c1", 0, HALF));
        assertThat(late.fault().kind()).isEqualTo(CommandFaultKind.STALE_BASE);
        assertThat(late.state()).isEqualTo("SUPERSEDED");
        assertThat(give(TestSigner.ANI.propose("o6", "c3", 0, HALF)).fault().kind())
                .isEqualTo(CommandFaultKind.STALE_BASE);
    }

    @Test
    void should_refuse_when_the_wrong_organisation_withdraws_or_refuses() {
        give(TestSigner.ANI.propose("o1", "c1", 0, HALF));
        ChangeCommand withdraw =
                TestSigner.RAMI.command(ChangeCommandKind.WITHDRAW, "o2", "c1", 0, HALF, ContentHash.NONE);
        ChangeCommand refuse = TestSigner.BUDI.command(ChangeCommandKind.REFUSE, "o3", "c1", 0, HALF, ContentHash.NONE);
        assertRefused(give(withdraw), CommandFaultKind.WRONG_ORGANISATION);
        assertRefused(give(refuse), CommandFaultKind.WRONG_ORGANISATION);
        ChangeCommand own = TestSigner.BUDI.command(ChangeCommandKind.WITHDRAW, "o4", "c1", 0, HALF, ContentHash.NONE);
        assertThat(give(own).state()).isEqualTo("WITHDRAWN");
        assertRefused(give(TestSigner.ANI.approve("o5", "c1", 0, HALF)), CommandFaultKind.NOT_OPEN);
    }

    @Test
    void should_name_row_and_column_when_rows_have_faults() {
        TableContent bad = content("stok/jogja/", 50, "40");
        CommandAnswer answer = give(TestSigner.ANI.propose("o1", "c1", 0, bad));
        assertRefused(answer, CommandFaultKind.BAD_ROWS);
        assertThat(answer.rows())
                .extracting(TableFault::toString)
                .containsExactly(
                        "row 1, column service: found <stok>, wanted one of [stock]",
                        "row 1, column zone: found <jogja>, wanted one of [bdg, jkt]");
    }

    @Test
    void should_refuse_when_a_limit_is_below_what_is_in_use() {
        Controllers busy = new Controllers(2, scope -> 41);
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
        assertRefused(give(swapped), CommandFaultKind.HASH_MISMATCH);
    }

    @Test
    void should_not_say_refused_when_an_earlier_try_may_still_take_effect() {
        node.submit(9, TestSigner.ANI.propose("o1", "c1", 0, HALF));
        serveNext();
        serveNext();
        Effect.CallStore late = node.calls.remove(0);
        node.pass(1_000);
        Controllers other = new Controllers(2, TableUse.NONE);
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

    private void accept(Controllers at, String change, TableContent content) {
        at.submit(1, TestSigner.ANI.propose("a1", change, 0, content));
        at.settle(tables);
        at.submit(2, TestSigner.ANI.approve("a2", change, 0, content));
        at.settle(tables);
        at.submit(3, TestSigner.RAMI.approve("a3", change, 0, content));
        at.settle(tables);
    }

    @Test
    void should_say_that_nothing_happened_when_the_store_is_down() {
        node.submit(9, TestSigner.ANI.propose("o1", "c1", 0, HALF));
        for (int i = 0; i < 60; i++) {
            node.pass(100);
        }
        assertRefused(node.answer(9), CommandFaultKind.STORE_UNAVAILABLE);
    }
}
