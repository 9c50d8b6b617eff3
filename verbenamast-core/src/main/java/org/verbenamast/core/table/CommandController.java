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

/** Carries out the operators' commands on changes of the table that were submitted to this node. */
public final class CommandController {

    /** The events, guards, actions, timers and tags that the chart file may name. */
    public static final Vocabulary<CommandEvent, CommandGuard, CommandAction, CommandTimer, NoTag> VOCABULARY =
            new Vocabulary<>(
                    CommandEvent.class, CommandGuard.class, CommandAction.class, CommandTimer.class, NoTag.class);

    private final Directory directory;
    private final StoreController store;
    private final RowListener rowSink;
    private final ChangeRules changes;
    private final FleetView fleet;
    private final ChartInstances<Long, CommandEvent, CommandData, CommandInput> commands;

    /**
     * Creates a controller without commands.
     *
     * @param operators the operators who may issue commands
     * @param directory the rows of the table service that this node knows
     * @param fleet the known fleet, against which the rows of a change are validated
     * @param store calls the table service
     * @param rowSink receives the rows that this controller writes or reads
     * @param listener notified of each transition
     */
    public CommandController(
            Operators operators,
            Directory directory,
            FleetView fleet,
            StoreController store,
            RowListener rowSink,
            TransitionListener listener) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.store = Objects.requireNonNull(store, "store");
        this.rowSink = Objects.requireNonNull(rowSink, "rowSink");
        this.changes = new ChangeRules(operators, listener);
        Chart<CommandEvent, CommandData, CommandInput> chart = ChartReader.bundled("command", VOCABULARY);
        this.commands = new ChartInstances<>(chart, event -> CommandInput.NONE, listener);
    }

    /**
     * Starts to carry out a command. The answer is emitted as {@link Effect.ReplyToOperator}.
     *
     * @param callId the unique id of the operator's call that waits for the answer
     * @param command the command to carry out
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void submit(long callId, ChangeCommand command, long now, Effects effects) {
        commands.begin(callId, new CommandData(callId, command, 0, null, false, this), now);
        commands.fire(callId, CommandEvent.START, CommandInput.NONE, now, effects);
    }

    /**
     * Fires the due timers.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        commands.advance(now, effects);
    }

    /**
     * Returns the time at which {@link #advance} is next due.
     *
     * @return the monotonic time, in nanoseconds; {@link Long#MAX_VALUE} if no timer is armed
     */
    public long nextDue() {
        return commands.nextDue();
    }

    void readTable(CommandData data, long now, Effects effects) {
        store.submitOnce(new StoreRequest.ReadRow(TableRow.KEY), now, effects, (reply, at, out) -> {
            boolean hasRows = reply instanceof StoreReply.RowsRead;
            CommandEvent event = hasRows ? CommandEvent.READ : CommandEvent.FAILED;
            commands.fire(data.callId(), event, new CommandInput(reply, null), at, out);
        });
    }

    void readChange(CommandData data, long now, Effects effects) {
        StoreRequest request =
                new StoreRequest.ReadRow(ChangeRow.keyOf(data.command().change()));
        store.submitOnce(request, now, effects, (reply, at, out) -> {
            if (reply instanceof StoreReply.RowsRead read) {
                ChangeDecision decision = decide(data.command(), read, at);
                commands.fire(data.callId(), CommandEvent.READ, new CommandInput(reply, decision), at, out);
            } else {
                commands.fire(data.callId(), CommandEvent.FAILED, new CommandInput(reply, null), at, out);
            }
        });
    }

    private ChangeDecision decide(ChangeCommand command, StoreReply.RowsRead read, long now) {
        Row change = read.rows().stream().findFirst().orElse(null);
        return changes.decide(command, change, directory.row(TableRow.KEY), fleet.validator(), now);
    }

    void applyRows(StoreReply reply, long now, Effects effects) {
        if (reply instanceof StoreReply.RowsRead read) {
            read.rows().forEach(row -> rowSink.onRowRead(row, now, effects));
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
            commands.fire(data.callId(), event, new CommandInput(reply, null), at, out);
        });
    }

    void publishRows(StoreReply reply, long now, Effects effects) {
        if (reply instanceof StoreReply.Committed committed) {
            committed.rows().stream()
                    .filter(row -> row.key().table().replicated())
                    .forEach(row -> rowSink.onRowWritten(row, now, effects));
        }
    }

    void refuse(CommandData data, CommandFault fault, Effects effects) {
        String change = data.command().change().value();
        answer(data.callId(), CommandAnswer.refused(change, "", directory.version(TableRow.KEY), fault), effects);
    }

    void answer(long callId, CommandAnswer answer, Effects effects) {
        effects.emit(new Effect.ReplyToOperator(callId, answer));
    }
}
