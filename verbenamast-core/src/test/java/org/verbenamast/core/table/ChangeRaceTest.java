package org.verbenamast.core.table;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.TableName;

import static org.assertj.core.api.Assertions.assertThat;

/** Edits and approvals of both groups race over several nodes and one store whose replies get lost or come late. */
class ChangeRaceTest {

    private static final int NODES = 3;
    private static final List<String> CHANGES = List.of("c1", "c2");
    private static final List<TableContent> CONTENTS = List.of(content(50), content(100), content(150));

    private final FakeStore tables = new FakeStore();
    private final List<Controllers> nodes = new ArrayList<>();
    private final List<ChangeCommand> given = new ArrayList<>();
    private final List<ChangeCommand> byCall = new ArrayList<>();
    private final long[] seen = new long[NODES];

    private enum Kind {
        PROPOSE,
        EDIT,
        APPROVE,
        WITHDRAW,
        REPEAT,
        SERVE,
        SERVE_AND_LOSE_REPLY,
        LOSE,
        WAIT
    }

    private record Step(Kind kind, int node, int pen, int change, int content, int pick) {}

    private static TableContent content(int weight) {
        TableScope scope = TableScope.of(Controllers.STOCK.name(), Controllers.JKT);
        return new TableContent(List.of(new TableEntry(scope, weight, Limit.UNLIMITED, Limit.UNLIMITED)));
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Kind> kinds = Arbitraries.frequency(
                net.jqwik.api.Tuple.of(2, Kind.PROPOSE),
                net.jqwik.api.Tuple.of(2, Kind.EDIT),
                net.jqwik.api.Tuple.of(6, Kind.APPROVE),
                net.jqwik.api.Tuple.of(1, Kind.WITHDRAW),
                net.jqwik.api.Tuple.of(1, Kind.REPEAT),
                net.jqwik.api.Tuple.of(30, Kind.SERVE),
                net.jqwik.api.Tuple.of(2, Kind.SERVE_AND_LOSE_REPLY),
                net.jqwik.api.Tuple.of(1, Kind.LOSE),
                net.jqwik.api.Tuple.of(4, Kind.WAIT));
        return Combinators.combine(
                        kinds,
                        Arbitraries.integers().between(0, NODES - 1),
                        Arbitraries.integers().between(0, TestSigner.ALL.size() - 1),
                        Arbitraries.integers().between(0, CHANGES.size() - 1),
                        Arbitraries.integers().between(0, CONTENTS.size() - 1),
                        Arbitraries.integers().between(0, 1_000))
                .as(Step::new)
                .list()
                .ofMinSize(60)
                .ofMaxSize(160);
    }

    @Property(tries = 400, seed = "20261204")
    void should_accept_only_what_both_signed_when_commands_race(@ForAll("steps") List<Step> steps) {
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Controllers(i, TableUse.NONE));
        }
        for (Step step : steps) {
            take(step);
            checkVersions();
        }
        nodes.forEach(node -> node.settle(tables));
        checkVersions();
        checkEffects();
        checkAnswers();
    }

    private void take(Step step) {
        Controllers node = nodes.get(step.node());
        switch (step.kind()) {
            case PROPOSE, EDIT, APPROVE, WITHDRAW -> give(node, command(step, node));
            case REPEAT -> {
                if (!given.isEmpty()) {
                    give(node, given.get(step.pick() % given.size()));
                }
            }
            case SERVE -> pick(step, node, true, true);
            case SERVE_AND_LOSE_REPLY -> pick(step, node, true, false);
            case LOSE -> pick(step, node, false, false);
            default -> node.pass(step.pick() + 200);
        }
    }

    private void give(Controllers node, ChangeCommand command) {
        given.add(command);
        byCall.add(command);
        node.submit(byCall.size() - 1, command);
    }

    private void pick(Step step, Controllers node, boolean served, boolean replied) {
        if (node.calls.isEmpty()) {
            return;
        }
        Effect.CallStore call = node.calls.remove(step.pick() % node.calls.size());
        if (served) {
            var reply = tables.serve(call.request());
            if (replied) {
                node.reply(call, reply);
            }
        }
    }

    private ChangeCommand command(Step step, Controllers node) {
        TestSigner pen = TestSigner.ALL.get(step.pen());
        String change = CHANGES.get(step.change());
        Row row = tables.row(ChangeRow.keyOf(new ChangeId(change)));
        long present = node.directory.table().version();
        TableContent content = CONTENTS.get(step.content());
        TableContent known = row == null ? content : ((ChangeRow) row.value()).content();
        long base = row == null || step.pick() % 4 == 0 ? present : ((ChangeRow) row.value()).base();
        String operation = "o" + given.size();
        boolean guesses = step.pick() % 3 == 0;
        return switch (step.kind()) {
            case PROPOSE -> pen.propose(operation, change, present, content);
            case EDIT -> pen.edit(operation, change, base, known, content);
            case APPROVE -> pen.approve(operation, change, base, guesses ? content : known);
            default -> pen.command(ChangeCommandKind.WITHDRAW, operation, change, base, known, ContentHash.NONE);
        };
    }

    private void checkVersions() {
        for (int i = 0; i < NODES; i++) {
            long version = nodes.get(i).directory.table().version();
            assertThat(version).as("versions only grow").isGreaterThanOrEqualTo(seen[i]);
            seen[i] = version;
        }
        for (Row kept : tables.all(TableName.VERSIONS)) {
            TableRow version = (TableRow) kept.value();
            ChangeRow change =
                    (ChangeRow) tables.row(ChangeRow.keyOf(version.change())).value();
            assertThat(kept.version())
                    .as("a kept version is never written again")
                    .isEqualTo(1);
            assertThat(change.state()).isEqualTo("ACCEPTED");
            assertThat(change.base()).as("accepted on its base").isEqualTo(version.version() - 1);
            checkApprovals(version);
        }
        Row table = tables.row(TableRow.KEY);
        long inForce = table == null ? 0 : ((TableRow) table.value()).version();
        assertThat(tables.all(TableName.VERSIONS)).hasSize((int) inForce);
    }

    private void checkApprovals(TableRow version) {
        Set<Organisation> organisations = new HashSet<>();
        for (Approval approval : version.approvals()) {
            assertThat(approval.hash())
                    .as("one hash")
                    .isEqualTo(version.content().hash());
            assertThat(given)
                    .as("signed by that operator")
                    .anyMatch(command -> isSignatureOf(command, approval, version));
            organisations.add(approval.organisation());
        }
        assertThat(organisations).as("both organisations").hasSize(2);
    }

    private static boolean isSignatureOf(ChangeCommand command, Approval approval, TableRow version) {
        return command.operation().equals(approval.operation())
                && command.operator().equals(approval.operator())
                && command.kind() == ChangeCommandKind.APPROVE
                && command.base() == version.version() - 1;
    }

    private void checkEffects() {
        for (Row row : tables.all(TableName.CHANGES)) {
            assertThat(((ChangeRow) row.value()).steps())
                    .extracting(ChangeStep::operation)
                    .as("one effect each")
                    .doesNotHaveDuplicates();
        }
    }

    private void checkAnswers() {
        for (int call = 0; call < byCall.size(); call++) {
            ChangeCommand command = byCall.get(call);
            List<CommandAnswer> answers = answersTo(call);
            assertThat(answers).as("one answer").hasSize(1);
            CommandAnswer answer = answers.get(0);
            Row row = tables.row(ChangeRow.keyOf(command.change()));
            boolean took = row != null && ((ChangeRow) row.value()).took(command);
            switch (answer.outcome()) {
                case DONE, REPEATED -> assertThat(took).as("kept: %s", answer).isTrue();
                case REFUSED ->
                    assertThat(took && repeats(command) == 1 && !superseded(answer))
                            .as("no effect: %s", answer)
                            .isFalse();
                default -> assertThat(answer.fault().kind()).isEqualTo(CommandFaultKind.EFFECT_UNKNOWN);
            }
        }
    }

    private static boolean superseded(CommandAnswer answer) {
        return answer.fault().kind() == CommandFaultKind.STALE_BASE
                && answer.state().equals("SUPERSEDED");
    }

    private long repeats(ChangeCommand command) {
        return byCall.stream().filter(command::equals).count();
    }

    private List<CommandAnswer> answersTo(long call) {
        return nodes.stream()
                .filter(node -> node.answers.containsKey(call))
                .map(node -> node.answers.get(call))
                .findFirst()
                .orElse(List.of());
    }
}
