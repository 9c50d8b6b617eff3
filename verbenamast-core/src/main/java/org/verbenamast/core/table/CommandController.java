package org.verbenamast.core.table;

import java.util.Objects;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.NoTag;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.node.RowListener;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.StoreController;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;

/** The operators' commands about changes of the table that this node carries out. */
public final class CommandController {

    /** The names that the chart file may use. */
    public static final Vocabulary<CommandEvent, CommandGuard, CommandAction, CommandTimer, NoTag> VOCABULARY =
            new Vocabulary<>(
                    CommandEvent.class, CommandGuard.class, CommandAction.class, CommandTimer.class, NoTag.class);

    private final Directory directory;
    private final StoreController store;
    private final RowListener sink;
    private final ChangeRules changes;
    private final FleetView fleet;
    private final ChartInstances<Long, CommandEvent, CommandData, CommandInput> commands;

    /**
     * Makes a desk without commands.
     *
     * @param operators who may give commands
     * @param directory the rows that the node knows
     * @param fleet tells against what the table's rows are checked
     * @param store the calls to the table service
     * @param sink takes the rows that this desk writes or learns
     * @param listener is told of each transition
     */
    public CommandController(
            Operators operators,
            Directory directory,
            FleetView fleet,
            StoreController store,
            RowListener sink,
            TransitionListener listener) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.store = Objects.requireNonNull(store, "store");
        this.sink = Objects.requireNonNull(sink, "sink");
        this.changes = new ChangeRules(operators, listener);
        Chart<CommandEvent, CommandData, CommandInput> chart = ChartReader.bundled("command", VOCABULARY);
        this.commands = new ChartInstances<>(chart, event -> CommandInput.NONE, listener);
    }

    /**
     * Takes a command.
     *
     * @param call the number under which the operator waits; no other call has it
     * @param command the command
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void submit(long call, ChangeCommand command, long now, Effects effects) {
        commands.begin(call, new CommandData(call, command, 0, null, false, this), now);
        commands.fire(call, CommandEvent.START, CommandInput.NONE, now, effects);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        commands.advance(now, effects);
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return commands.nextDue();
    }

    void readTable(CommandData data, long now, Effects effects) {
        store.submitOnce(new StoreRequest.ReadRow(TableRow.KEY), now, effects, (reply, at, out) -> {
            boolean read = reply instanceof StoreReply.RowsRead;
            CommandEvent event = read ? CommandEvent.READ : CommandEvent.FAILED;
            commands.fire(data.call(), event, new CommandInput(reply, null), at, out);
        });
    }

    void readChange(CommandData data, long now, Effects effects) {
        StoreRequest request =
                new StoreRequest.ReadRow(ChangeRow.keyOf(data.command().change()));
        store.submitOnce(request, now, effects, (reply, at, out) -> {
            if (reply instanceof StoreReply.RowsRead read) {
                ChangeDecision decision = decide(data.command(), read, at);
                commands.fire(data.call(), CommandEvent.READ, new CommandInput(reply, decision), at, out);
            } else {
                commands.fire(data.call(), CommandEvent.FAILED, new CommandInput(reply, null), at, out);
            }
        });
    }

    private ChangeDecision decide(ChangeCommand command, StoreReply.RowsRead read, long now) {
        Row change = read.rows().stream().findFirst().orElse(null);
        return changes.decide(command, change, directory.row(TableRow.KEY), fleet.rules(), now);
    }

    void learn(StoreReply reply, long now, Effects effects) {
        if (reply instanceof StoreReply.RowsRead read) {
            read.rows().forEach(row -> sink.onRowRead(row, now, effects));
        }
    }

    void commit(CommandData data, long now, Effects effects) {
        StoreRequest commit = new StoreRequest.Commit(data.decision().writes());
        store.submitOnce(commit, now, effects, (reply, at, out) -> {
            CommandEvent event = CommandEvent.FAILED;
            if (reply instanceof StoreReply.Committed) {
                event = CommandEvent.WRITTEN;
            } else if (reply instanceof StoreReply.Conflicted) {
                event = CommandEvent.CONFLICTED;
            }
            commands.fire(data.call(), event, new CommandInput(reply, null), at, out);
        });
    }

    void wrote(StoreReply reply, long now, Effects effects) {
        if (reply instanceof StoreReply.Committed committed) {
            committed.rows().stream()
                    .filter(row -> row.key().table().spread())
                    .forEach(row -> sink.onRowWritten(row, now, effects));
        }
    }

    void refuse(CommandData data, CommandFault fault, Effects effects) {
        String change = data.command().change().value();
        answer(data.call(), CommandAnswer.refused(change, "", directory.version(TableRow.KEY), fault), effects);
    }

    void answer(long call, CommandAnswer answer, Effects effects) {
        effects.emit(new Effect.AnswerOperator(call, answer));
    }
}
