package org.verbenamast.core.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.vavr.control.Either;
import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartState;
import org.verbenamast.core.chart.Deadlines;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.Transition;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowWrite;

/**
 * Decides what a signed command does to a change of the table, as the chart {@code change} says. It keeps nothing: the
 * change's state is in its row.
 */
public final class ChangeRules {

    /** The names that the chart file may use. */
    public static final Vocabulary<ChangeEvent, ChangeGuard, ChangeAction, ChangeTimer, ChangeTag> VOCABULARY =
            new Vocabulary<>(
                    ChangeEvent.class, ChangeGuard.class, ChangeAction.class, ChangeTimer.class, ChangeTag.class);

    private final Chart<ChangeEvent, ChangeData, ChangeInput> chart;
    private final Operators operators;
    private final TransitionListener listener;

    /**
     * Makes rules.
     *
     * @param operators who may give commands
     * @param listener is told of each transition
     */
    public ChangeRules(Operators operators, TransitionListener listener) {
        this.chart = ChartReader.bundled("change", VOCABULARY);
        this.operators = Objects.requireNonNull(operators, "operators");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Decides.
     *
     * @param command the command
     * @param change the change's row, or null where there is none
     * @param table the row of the version in force, or null where there is none
     * @param rules the checks of the table's rows
     * @param now the monotonic time, in nanoseconds
     * @return the rows to write and the answer
     */
    public ChangeDecision decide(ChangeCommand command, Row change, Row table, TableRules rules, long now) {
        long present = table == null ? 0 : ((TableRow) table.value()).version();
        ChangeRow row = change == null ? null : (ChangeRow) change.value();
        Either<CommandFault, Operator> signer =
                operators.signer(command.operator(), command.signedText(), command.signature());
        if (signer.isLeft()) {
            return refused(command, row, present, signer.getLeft());
        }
        List<TableFault> faults =
                command.kind().carriesContent() ? rules.faults(command.content()) : List.<TableFault>of();
        CommandFault fault = faultOf(command, row, faults);
        if (fault != null) {
            CommandAnswer answer = refused(command, row, present, fault).answer();
            return new ChangeDecision(
                    List.of(),
                    new CommandAnswer(
                            answer.outcome(), answer.subject(), answer.state(), present, answer.fault(), faults));
        }
        if (row != null && row.took(command)) {
            return repeated(command, row, present);
        }
        return follow(new ChangeInput(command, signer.get()), change, table, now);
    }

    private static CommandFault faultOf(ChangeCommand command, ChangeRow row, List<TableFault> faults) {
        boolean proposes = command.kind() == ChangeCommandKind.PROPOSE;
        ContentHash found = command.content().hash();
        if (command.kind().carriesContent() && !command.hash().equals(found)) {
            return CommandFault.shouldCarryItsContent(command.hash(), found);
        }
        if (row == null && !proposes) {
            return CommandFault.shouldExist(command.change());
        }
        if (row != null && row.took(command)) {
            return null;
        }
        if (row != null && proposes) {
            return CommandFault.shouldBeNew(command.change());
        }
        if (row != null && row.steps().size() >= ChangeRow.MAX_STEPS) {
            return CommandFault.shouldHaveFewSteps(command.change());
        }
        return faults.isEmpty() ? null : CommandFault.shouldHaveSoundRows(faults.size());
    }

    private static ChangeDecision refused(ChangeCommand command, ChangeRow row, long present, CommandFault fault) {
        String state = row == null ? "" : row.state();
        return new ChangeDecision(
                List.of(), CommandAnswer.refused(command.change().value(), state, present, fault));
    }

    private ChangeDecision repeated(ChangeCommand command, ChangeRow row, long present) {
        if (stateOf(row).hasTag(ChangeTag.STALE)) {
            return refused(command, row, present, CommandFault.shouldStandOnPresentVersion(row.base(), present));
        }
        return new ChangeDecision(
                List.of(),
                CommandAnswer.took(CommandOutcome.REPEATED, command.change().value(), row.state(), present));
    }

    private ChartState stateOf(ChangeRow row) {
        return chart.states().stream()
                .filter(state -> state.name().equals(row.state()))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("the chart should have state " + row.state()));
    }

    private ChangeDecision follow(ChangeInput input, Row change, Row table, long now) {
        long present = table == null ? 0 : ((TableRow) table.value()).version();
        ChangeRow before = change == null ? draft(input) : (ChangeRow) change.value();
        Instance<ChangeData> at =
                new Instance<>(stateOf(before), new ChangeData(before, present, null), Deadlines.none());
        ChangeEvent event = input.command().kind().event();
        Transition<ChangeData, ChangeInput> taken = chart.selectTransition(at, event, input, now);
        if (taken == null) {
            CommandFault fault = CommandFault.shouldBeOpen(before.id(), before.state());
            return refused(input.command(), before, present, fault);
        }
        Instance<ChangeData> next = chart.apply(taken, at, input, now, effect -> {});
        listener.onTransition(chart.name(), before.id(), event, taken, now);
        return decisionOf(input.command(), next, change, table);
    }

    private ChangeRow draft(ChangeInput input) {
        ChangeCommand command = input.command();
        return new ChangeRow(
                command.change(),
                chart.initial().name(),
                command.base(),
                command.content(),
                input.operator().name(),
                input.operator().organisation(),
                List.of(),
                List.of(),
                command.operation());
    }

    private ChangeDecision decisionOf(ChangeCommand command, Instance<ChangeData> next, Row change, Row table) {
        ChangeData data = next.data();
        ChangeRow row = data.row().inState(next.state().name());
        boolean takesForce = next.hasTag(ChangeTag.TAKES_FORCE);
        CommandAnswer answer = data.fault() == null
                ? CommandAnswer.took(
                        CommandOutcome.DONE, row.id().value(), row.state(), data.present() + (takesForce ? 1 : 0))
                : CommandAnswer.refused(row.id().value(), row.state(), data.present(), data.fault());
        List<RowWrite> writes = new ArrayList<>();
        if (row.took(command)) {
            writes.add(new RowWrite(ChangeRow.keyOf(row.id()), change == null ? 0 : change.version(), row));
        }
        if (takesForce) {
            TableRow accepted = accepted(command, row, data.present() + 1);
            writes.add(new RowWrite(TableRow.KEY, table == null ? 0 : table.version(), accepted));
            writes.add(new RowWrite(TableRow.keptKey(accepted.version()), 0, accepted));
        }
        return new ChangeDecision(writes, answer);
    }

    private static TableRow accepted(ChangeCommand command, ChangeRow row, long version) {
        ChangeStep proposal = row.steps().get(0);
        return new TableRow(
                version,
                row.content(),
                row.content().hash(),
                row.id(),
                proposal.reason(),
                row.author(),
                row.approvals(),
                command.at(),
                command.operation());
    }
}
