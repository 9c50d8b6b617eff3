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
 * Decides the effect of a signed command on a change of the table by the chart {@code change}. Stateless: the state of
 * a change is stored in its row.
 */
public final class ChangeRules {

    /** The events, guards, actions, timers and tags that the chart file may name. */
    public static final Vocabulary<ChangeEvent, ChangeGuard, ChangeAction, ChangeTimer, ChangeTag> VOCABULARY =
            new Vocabulary<>(
                    ChangeEvent.class, ChangeGuard.class, ChangeAction.class, ChangeTimer.class, ChangeTag.class);

    private final Chart<ChangeEvent, ChangeData, ChangeInput> chart;
    private final Operators operators;
    private final TransitionListener listener;

    /**
     * Creates the rules from the bundled chart {@code change}.
     *
     * @param operators the operators who may issue commands
     * @param listener notified of each transition
     */
    public ChangeRules(Operators operators, TransitionListener listener) {
        this.chart = ChartReader.bundled("change", VOCABULARY);
        this.operators = Objects.requireNonNull(operators, "operators");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Decides a command: checks its signature, content and target, then applies it to the chart.
     *
     * @param command the command
     * @param change the stored row of the change, or null if there is none
     * @param table the stored row of the version in force, or null if there is none
     * @param validator validates the rows of the command's content
     * @param now the monotonic time, in nanoseconds
     * @return the rows to write and the answer to the operator
     */
    public ChangeDecision decide(ChangeCommand command, Row change, Row table, TableValidator validator, long now) {
        long currentVersion = table == null ? 0 : ((TableRow) table.value()).version();
        ChangeRow row = change == null ? null : (ChangeRow) change.value();
        Either<CommandFault, Operator> signer =
                operators.authenticate(command.operator(), command.signedText(), command.signature());
        if (signer.isLeft()) {
            return refused(command, row, currentVersion, signer.getLeft());
        }
        List<TableFault> faults =
                command.kind().carriesContent() ? validator.validate(command.content()) : List.<TableFault>of();
        CommandFault fault = faultOf(command, row, faults);
        if (fault != null) {
            CommandAnswer answer = refused(command, row, currentVersion, fault).answer();
            return new ChangeDecision(
                    List.of(),
                    new CommandAnswer(
                            answer.outcome(),
                            answer.subject(),
                            answer.state(),
                            currentVersion,
                            answer.fault(),
                            faults));
        }
        if (row != null && row.hasRecorded(command)) {
            return repeated(command, row, currentVersion);
        }
        return applyToChart(new ChangeInput(command, signer.get()), change, table, now);
    }

    private static CommandFault faultOf(ChangeCommand command, ChangeRow row, List<TableFault> faults) {
        boolean isProposal = command.kind() == ChangeCommandKind.PROPOSE;
        ContentHash actual = command.content().hash();
        if (command.kind().carriesContent() && !command.hash().equals(actual)) {
            return CommandFault.shouldMatchSignedHash(command.hash(), actual);
        }
        if (row == null && !isProposal) {
            return CommandFault.shouldExist(command.change());
        }
        if (row != null && row.hasRecorded(command)) {
            return null;
        }
        if (row != null && isProposal) {
            return CommandFault.shouldBeNew(command.change());
        }
        if (row != null && row.steps().size() >= ChangeRow.MAX_STEPS) {
            return CommandFault.shouldNotExceedMaxSteps(command.change());
        }
        return faults.isEmpty() ? null : CommandFault.shouldHaveValidRows(faults.size());
    }

    private static ChangeDecision refused(
            ChangeCommand command, ChangeRow row, long currentVersion, CommandFault fault) {
        String state = row == null ? "" : row.state();
        return new ChangeDecision(
                List.of(), CommandAnswer.refused(command.change().value(), state, currentVersion, fault));
    }

    private ChangeDecision repeated(ChangeCommand command, ChangeRow row, long currentVersion) {
        if (stateOf(row).hasTag(ChangeTag.STALE)) {
            return refused(
                    command,
                    row,
                    currentVersion,
                    CommandFault.shouldBeBasedOnCurrentVersion(row.base(), currentVersion));
        }
        return new ChangeDecision(
                List.of(),
                CommandAnswer.applied(CommandOutcome.REPEATED, command.change().value(), row.state(), currentVersion));
    }

    private ChartState stateOf(ChangeRow row) {
        return chart.states().stream()
                .filter(state -> state.name().equals(row.state()))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("the chart should have state " + row.state()));
    }

    private ChangeDecision applyToChart(ChangeInput input, Row change, Row table, long now) {
        long currentVersion = table == null ? 0 : ((TableRow) table.value()).version();
        ChangeRow before = change == null ? draft(input) : (ChangeRow) change.value();
        Instance<ChangeData> current =
                new Instance<>(stateOf(before), new ChangeData(before, currentVersion, null), Deadlines.none());
        ChangeEvent event = input.command().kind().event();
        Transition<ChangeData, ChangeInput> transition = chart.selectTransition(current, event, input, now);
        if (transition == null) {
            CommandFault fault = CommandFault.shouldBeOpen(before.id(), before.state());
            return refused(input.command(), before, currentVersion, fault);
        }
        Instance<ChangeData> next = chart.apply(transition, current, input, now, effect -> {});
        listener.onTransition(chart.name(), before.id(), event, transition, now);
        return toDecision(input.command(), next, change, table);
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

    private ChangeDecision toDecision(ChangeCommand command, Instance<ChangeData> next, Row change, Row table) {
        ChangeData data = next.data();
        ChangeRow row = data.row().withState(next.state().name());
        boolean takesEffect = next.hasTag(ChangeTag.TAKES_EFFECT);
        CommandAnswer answer = data.fault() == null
                ? CommandAnswer.applied(
                        CommandOutcome.DONE,
                        row.id().value(),
                        row.state(),
                        data.currentVersion() + (takesEffect ? 1 : 0))
                : CommandAnswer.refused(row.id().value(), row.state(), data.currentVersion(), data.fault());
        List<RowWrite> writes = new ArrayList<>();
        if (row.hasRecorded(command)) {
            writes.add(new RowWrite(ChangeRow.keyOf(row.id()), change == null ? 0 : change.version(), row));
        }
        if (takesEffect) {
            TableRow accepted = acceptedVersion(command, row, data.currentVersion() + 1);
            writes.add(new RowWrite(TableRow.KEY, table == null ? 0 : table.version(), accepted));
            writes.add(new RowWrite(TableRow.versionKey(accepted.version()), 0, accepted));
        }
        return new ChangeDecision(writes, answer);
    }

    private static TableRow acceptedVersion(ChangeCommand command, ChangeRow row, long version) {
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
