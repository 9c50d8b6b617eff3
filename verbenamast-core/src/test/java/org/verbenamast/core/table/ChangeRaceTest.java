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

/**
 * Races commands of both organisations on several nodes against one table service whose requests and replies are lost
 * or delayed. Guards against a table version that lacks an approval of either organisation, a command applied twice,
 * and an answer that contradicts the stored rows.
 */
class ChangeRaceTest {

    private static final int NODES = 3;
    private static final List<String> CHANGES = List.of("c1", "c2");
    private static final List<TableContent> CONTENTS = List.of(content(50), content(100), content(150));

    private final FakeStore tables = new FakeStore();
    private final List<OperatorControllers> nodes = new ArrayList<>();
    private final List<ChangeCommand> submitted = new ArrayList<>();
    private final List<ChangeCommand> commandsByCall = new ArrayList<>();
    private final long[] lastVersions = new long[NODES];

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

    private record Step(Kind kind, int node, int signer, int change, int content, int random) {}

    private static TableContent content(int weight) {
        TableScope scope = TableScope.of(OperatorControllers.STOCK.name(), OperatorControllers.JKT);
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
            nodes.add(new OperatorControllers(i, LimitUsage.NONE));
        }
        for (Step step : steps) {
            perform(step);
            checkVersions();
        }
        nodes.forEach(node -> node.settle(tables));
        checkVersions();
        checkEffects();
        checkAnswers();
    }

    private void perform(Step step) {
        OperatorControllers node = nodes.get(step.node());
        switch (step.kind()) {
            case PROPOSE, EDIT, APPROVE, WITHDRAW -> submit(node, command(step, node));
            case REPEAT -> {
                if (!submitted.isEmpty()) {
                    submit(node, submitted.get(step.random() % submitted.size()));
                }
            }
            case SERVE -> processCall(step, node, true, true);
            case SERVE_AND_LOSE_REPLY -> processCall(step, node, true, false);
            case LOSE -> processCall(step, node, false, false);
            default -> node.advanceMillis(step.random() + 200);
        }
    }

    private void submit(OperatorControllers node, ChangeCommand command) {
        submitted.add(command);
        commandsByCall.add(command);
        node.submit(commandsByCall.size() - 1, command);
    }

    private void processCall(Step step, OperatorControllers node, boolean served, boolean replied) {
        if (node.pendingCalls.isEmpty()) {
            return;
        }
        Effect.CallStore call = node.pendingCalls.remove(step.random() % node.pendingCalls.size());
        if (served) {
            var reply = tables.serve(call.request());
            if (replied) {
                node.reply(call, reply);
            }
        }
    }

    private ChangeCommand command(Step step, OperatorControllers node) {
        TestSigner signer = TestSigner.ALL.get(step.signer());
        String change = CHANGES.get(step.change());
        Row row = tables.row(ChangeRow.keyOf(new ChangeId(change)));
        long currentVersion = node.directory.table().version();
        TableContent content = CONTENTS.get(step.content());
        TableContent known = row == null ? content : ((ChangeRow) row.value()).content();
        long base = row == null || step.random() % 4 == 0 ? currentVersion : ((ChangeRow) row.value()).base();
        String operation = "o" + submitted.size();
        boolean mayMismatch = step.random() % 3 == 0;
        return switch (step.kind()) {
            case PROPOSE -> signer.propose(operation, change, currentVersion, content);
            case EDIT -> signer.edit(operation, change, base, known, content);
            case APPROVE -> signer.approve(operation, change, base, mayMismatch ? content : known);
            default -> signer.command(ChangeCommandKind.WITHDRAW, operation, change, base, known, ContentHash.NONE);
        };
    }

    private void checkVersions() {
        for (int i = 0; i < NODES; i++) {
            long version = nodes.get(i).directory.table().version();
            assertThat(version).as("versions never decrease").isGreaterThanOrEqualTo(lastVersions[i]);
            lastVersions[i] = version;
        }
        for (Row stored : tables.rowsOf(TableName.VERSIONS)) {
            TableRow version = (TableRow) stored.value();
            ChangeRow change =
                    (ChangeRow) tables.row(ChangeRow.keyOf(version.change())).value();
            assertThat(stored.version())
                    .as("an accepted version is never written again")
                    .isEqualTo(1);
            assertThat(change.state()).isEqualTo("ACCEPTED");
            assertThat(change.base()).as("accepted on its base version").isEqualTo(version.version() - 1);
            checkApprovals(version);
        }
        Row table = tables.row(TableRow.KEY);
        long inForce = table == null ? 0 : ((TableRow) table.value()).version();
        assertThat(tables.rowsOf(TableName.VERSIONS)).hasSize((int) inForce);
    }

    private void checkApprovals(TableRow version) {
        Set<Organisation> organisations = new HashSet<>();
        for (Approval approval : version.approvals()) {
            assertThat(approval.hash())
                    .as("hash of the approved content")
                    .isEqualTo(version.content().hash());
            assertThat(submitted)
                    .as("signed by the named operator")
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
        for (Row row : tables.rowsOf(TableName.CHANGES)) {
            assertThat(((ChangeRow) row.value()).steps())
                    .extracting(ChangeStep::operation)
                    .as("each command applied once")
                    .doesNotHaveDuplicates();
        }
    }

    private void checkAnswers() {
        for (int call = 0; call < commandsByCall.size(); call++) {
            ChangeCommand command = commandsByCall.get(call);
            List<CommandAnswer> answers = answersTo(call);
            assertThat(answers).as("one answer").hasSize(1);
            CommandAnswer answer = answers.get(0);
            Row row = tables.row(ChangeRow.keyOf(command.change()));
            boolean recorded = row != null && ((ChangeRow) row.value()).hasRecorded(command);
            switch (answer.outcome()) {
                case DONE, REPEATED ->
                    assertThat(recorded).as("recorded: %s", answer).isTrue();
                case REFUSED ->
                    assertThat(recorded && submissionsOf(command) == 1 && !superseded(answer))
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

    private long submissionsOf(ChangeCommand command) {
        return commandsByCall.stream().filter(command::equals).count();
    }

    private List<CommandAnswer> answersTo(long call) {
        return nodes.stream()
                .filter(node -> node.answers.containsKey(call))
                .map(node -> node.answers.get(call))
                .findFirst()
                .orElse(List.of());
    }
}
