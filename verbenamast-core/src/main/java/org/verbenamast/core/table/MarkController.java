package org.verbenamast.core.table;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Random;

import io.vavr.control.Either;
import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.RowListener;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowWrite;
import org.verbenamast.core.store.StoreController;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;

/** The operators' marks: they take force here, are passed on to other members, and are written to the table service. */
public final class MarkController {

    /** The names that the chart file may use. */
    public static final Vocabulary<MarkEvent, MarkGuard, MarkAction, MarkTimer, MarkTag> VOCABULARY =
            new Vocabulary<>(MarkEvent.class, MarkGuard.class, MarkAction.class, MarkTimer.class, MarkTag.class);

    private static final int FANOUT = 4;
    private static final long CLOSE_AFTER_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 1_000;
    private static final int HEARD_RETRY_MIN_MILLIS = 5_000;
    private static final int HEARD_RETRY_MAX_MILLIS = 30_000;

    private final MemberId self;
    private final Operators operators;
    private final Directory directory;
    private final FleetView fleet;
    private final StoreController store;
    private final RowListener sink;
    private final Random random;
    private final ChartInstances<MarkSubject, MarkEvent, MarkData, MarkInput> pending;

    /**
     * Makes a desk without marks.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     * @param fleet tells what may be marked
     * @param store the calls to the table service
     * @param sink takes the rows that this desk writes or learns
     * @param listener is told of each transition
     */
    public MarkController(
            CoreSettings settings,
            Directory directory,
            FleetView fleet,
            StoreController store,
            RowListener sink,
            TransitionListener listener) {
        this.self = settings.self();
        this.operators = settings.operators();
        this.directory = Objects.requireNonNull(directory, "directory");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.store = Objects.requireNonNull(store, "store");
        this.sink = Objects.requireNonNull(sink, "sink");
        this.random = new Random(settings.seed());
        Chart<MarkEvent, MarkData, MarkInput> chart = ChartReader.bundled("mark", VOCABULARY);
        this.pending = new ChartInstances<>(chart, event -> MarkInput.NONE, listener);
    }

    /**
     * Takes an operator's mark.
     *
     * @param call the number under which the operator waits
     * @param mark the mark
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void submit(long call, MarkRow mark, long now, Effects effects) {
        MarkData asked = new MarkData(mark, call, true, this);
        MarkRow known = directory.marks().find(mark.subject());
        CommandFault fault = faultOf(mark, known);
        if (mark.equals(known)) {
            answer(asked, isDurable(mark) ? CommandOutcome.REPEATED : CommandOutcome.IN_FORCE_NOT_DURABLE, effects);
        } else if (fault != null) {
            refuse(asked, fault, effects);
        } else {
            fire(MarkEvent.TAKEN, new MarkInput(mark, call, false), now, effects);
        }
    }

    private CommandFault faultOf(MarkRow mark, MarkRow known) {
        Either<CommandFault, Operator> signer = operators.signer(mark.operator(), mark.signedText(), mark.signature());
        if (signer.isLeft()) {
            return signer.getLeft();
        }
        if (!fleet.knows(mark.subject())) {
            return CommandFault.shouldNameKnownSubject(mark.subject());
        }
        if (known != null && mark.counter() <= known.counter()) {
            return CommandFault.shouldBeNewerMark(mark.subject(), mark.counter(), known.counter());
        }
        boolean waits = pending.find(mark.subject()) != null;
        return waits && !mark.state().removesWork() ? CommandFault.shouldReachStore() : null;
    }

    /**
     * Takes a mark that another member has passed on before the table service had it.
     *
     * @param mark the mark
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void heard(MarkRow mark, long now, Effects effects) {
        boolean newer = mark.newerThan(directory.marks().find(mark.subject()));
        if (newer
                && mark.state().removesWork()
                && operators
                        .signer(mark.operator(), mark.signedText(), mark.signature())
                        .isRight()) {
            fire(MarkEvent.HEARD, new MarkInput(mark, MarkData.NOBODY, false), now, effects);
        }
    }

    /**
     * Takes a row that the directory has learnt.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void learnt(Row row, long now, Effects effects) {
        if (!(row.value() instanceof MarkRow mark)) {
            return;
        }
        enforce(mark, now);
        Instance<MarkData> waiting = pending.find(mark.subject());
        if (waiting != null && !waiting.data().mark().newerThan(mark)) {
            pending.fire(mark.subject(), MarkEvent.DURABLE_SEEN, MarkInput.NONE, now, effects);
        }
    }

    private void fire(MarkEvent event, MarkInput input, long now, Effects effects) {
        MarkSubject subject = input.mark().subject();
        if (pending.find(subject) == null) {
            pending.begin(subject, new MarkData(null, MarkData.NOBODY, false, this), now);
        }
        pending.fire(subject, event, input, now, effects);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        directory.marks().advance(now);
        pending.advance(now, effects);
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return Math.min(directory.marks().nextDue(), pending.nextDue());
    }

    /**
     * Tells whether the table service is known to have a mark.
     *
     * @param mark the mark
     * @return whether it has this mark or a newer one
     */
    public boolean isDurable(MarkRow mark) {
        MarkRow durable = durable(mark.subject());
        return durable != null && !mark.newerThan(durable);
    }

    MarkRow durable(MarkSubject subject) {
        Row row = directory.row(MarkRow.keyOf(subject));
        return row == null ? null : (MarkRow) row.value();
    }

    void enforce(MarkRow mark, long now) {
        directory.mark(mark, now + Timing.millisToNanos(CLOSE_AFTER_MILLIS));
    }

    void passOn(MarkRow mark, Effects effects) {
        List<MemberId> others = new ArrayList<>();
        for (MemberRow member : directory.members()) {
            if (!member.id().equals(self) && !member.status().over()) {
                others.add(member.id());
            }
        }
        Collections.shuffle(others, random);
        PeerMessage push = new PeerMessage.MarkPush(mark);
        others.stream().limit(FANOUT).forEach(to -> effects.emit(new Effect.SendToPeer(to, push)));
    }

    void write(MarkRow mark, long now, Effects effects) {
        long version = directory.version(MarkRow.keyOf(mark.subject()));
        StoreRequest commit =
                new StoreRequest.Commit(List.of(new RowWrite(MarkRow.keyOf(mark.subject()), version, mark)));
        store.submitOnce(commit, now, effects, (reply, at, out) -> written(mark, reply, at, out));
    }

    private void written(MarkRow mark, StoreReply reply, long now, Effects effects) {
        Instance<MarkData> waiting = pending.find(mark.subject());
        boolean current = waiting != null && mark.equals(waiting.data().mark());
        MarkEvent event = MarkEvent.FAILED;
        if (reply instanceof StoreReply.Committed committed) {
            event = MarkEvent.WRITTEN;
            committed.rows().forEach(row -> sink.onRowWritten(row, now, effects));
        } else if (reply instanceof StoreReply.Conflicted conflicted) {
            event = MarkEvent.CONFLICTED;
            conflicted.rows().forEach(row -> sink.onRowRead(row, now, effects));
        }
        if (current) {
            boolean unknown = reply instanceof StoreReply.Failed failed
                    && failed.failure().effectUnknown();
            pending.fire(mark.subject(), event, new MarkInput(mark, MarkData.NOBODY, unknown), now, effects);
        }
    }

    long retryNanos(boolean taken) {
        int millis = taken ? (int) RETRY_MILLIS : random.nextInt(HEARD_RETRY_MIN_MILLIS, HEARD_RETRY_MAX_MILLIS);
        return Timing.millisToNanos(millis);
    }

    void answer(MarkData data, CommandOutcome outcome, Effects effects) {
        MarkRow mark = data.mark();
        emit(
                data,
                CommandAnswer.took(
                        outcome, mark.subject().toString(), mark.state().name(), mark.counter()),
                effects);
    }

    void refuseStale(MarkData data, Effects effects) {
        MarkRow mark = data.mark();
        MarkRow known = directory.marks().find(mark.subject());
        refuse(data, CommandFault.shouldBeNewerMark(mark.subject(), mark.counter(), known.counter()), effects);
    }

    void refuse(MarkData data, CommandFault fault, Effects effects) {
        MarkRow known = directory.marks().find(data.mark().subject());
        String state = known == null ? MarkState.IN.name() : known.state().name();
        long counter = known == null ? 0 : known.counter();
        emit(data, CommandAnswer.refused(data.mark().subject().toString(), state, counter, fault), effects);
    }

    private static void emit(MarkData data, CommandAnswer answer, Effects effects) {
        if (data.call() != MarkData.NOBODY) {
            effects.emit(new Effect.AnswerOperator(data.call(), answer));
        }
    }
}
