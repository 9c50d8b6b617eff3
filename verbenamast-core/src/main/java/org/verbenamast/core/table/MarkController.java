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

/**
 * Handles the operators' marks, which take an availability zone or a backend server out of service or return it. A mark
 * that removes work takes effect at once and is pushed to other members before it is written to the table service; a
 * mark that returns work takes effect only once it is written.
 */
public final class MarkController {

    /** The events, guards, actions, timers and tags that the chart file may name. */
    public static final Vocabulary<MarkEvent, MarkGuard, MarkAction, MarkTimer, MarkTag> VOCABULARY =
            new Vocabulary<>(MarkEvent.class, MarkGuard.class, MarkAction.class, MarkTimer.class, MarkTag.class);

    private static final int PUSH_FANOUT = 4;
    private static final long CLOSE_DELAY_MILLIS = 2_000;
    private static final long LOCAL_MARK_RETRY_MILLIS = 1_000;
    // Longer and randomized, because several members hold the same pushed mark.
    private static final int PEER_MARK_RETRY_MIN_MILLIS = 5_000;
    private static final int PEER_MARK_RETRY_MAX_MILLIS = 30_000;

    private final MemberId self;
    private final Operators operators;
    private final Directory directory;
    private final FleetView fleet;
    private final StoreController store;
    private final RowListener rowSink;
    private final Random random;
    private final ChartInstances<MarkSubject, MarkEvent, MarkData, MarkInput> pending;

    /**
     * Creates a controller without pending marks.
     *
     * @param settings the settings of this node
     * @param directory the rows of the table service that this node knows
     * @param fleet the zones and backend servers that may be marked
     * @param store calls the table service
     * @param rowSink receives the rows that this controller writes or reads
     * @param listener notified of each transition
     */
    public MarkController(
            CoreSettings settings,
            Directory directory,
            FleetView fleet,
            StoreController store,
            RowListener rowSink,
            TransitionListener listener) {
        this.self = settings.self();
        this.operators = settings.operators();
        this.directory = Objects.requireNonNull(directory, "directory");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.store = Objects.requireNonNull(store, "store");
        this.rowSink = Objects.requireNonNull(rowSink, "rowSink");
        this.random = new Random(settings.seed());
        Chart<MarkEvent, MarkData, MarkInput> chart = ChartReader.bundled("mark", VOCABULARY);
        this.pending = new ChartInstances<>(chart, event -> MarkInput.NONE, listener);
    }

    /**
     * Handles a mark that an operator submits to this node. The answer is emitted as {@link Effect.ReplyToOperator}.
     *
     * @param callId the id of the operator's call that waits for the answer
     * @param mark the signed mark
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void submit(long callId, MarkRow mark, long now, Effects effects) {
        MarkData submitted = new MarkData(mark, callId, true, this);
        MarkRow known = directory.marks().find(mark.subject());
        CommandFault fault = faultOf(mark, known);
        if (mark.equals(known)) {
            answer(submitted, isDurable(mark) ? CommandOutcome.REPEATED : CommandOutcome.IN_FORCE_NOT_DURABLE, effects);
        } else if (fault != null) {
            refuse(submitted, fault, effects);
        } else {
            fire(MarkEvent.TAKEN, new MarkInput(mark, callId, false), now, effects);
        }
    }

    private CommandFault faultOf(MarkRow mark, MarkRow known) {
        Either<CommandFault, Operator> signer =
                operators.authenticate(mark.operator(), mark.signedText(), mark.signature());
        if (signer.isLeft()) {
            return signer.getLeft();
        }
        if (!fleet.knows(mark.subject())) {
            return CommandFault.shouldNameKnownSubject(mark.subject());
        }
        if (known != null && mark.counter() <= known.counter()) {
            return CommandFault.shouldBeNewerMark(mark.subject(), mark.counter(), known.counter());
        }
        boolean isPending = pending.find(mark.subject()) != null;
        return isPending && !mark.state().removesWork() ? CommandFault.shouldReachStore() : null;
    }

    /**
     * Handles a mark that another member pushed. It is ignored unless it is newer than the known one, removes work and
     * is signed by a known operator. Otherwise this node enforces it and writes it too, so that it survives the loss of
     * the node that accepted it.
     *
     * @param mark the pushed mark
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onMarkPush(MarkRow mark, long now, Effects effects) {
        boolean newer = mark.newerThan(directory.marks().find(mark.subject()));
        if (newer
                && mark.state().removesWork()
                && operators
                        .authenticate(mark.operator(), mark.signedText(), mark.signature())
                        .isRight()) {
            fire(MarkEvent.HEARD, new MarkInput(mark, MarkData.NO_CALL, false), now, effects);
        }
    }

    /**
     * Handles a row that was added to the directory. Rows other than marks are ignored.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRow(Row row, long now, Effects effects) {
        if (!(row.value() instanceof MarkRow mark)) {
            return;
        }
        enforce(mark, now);
        Instance<MarkData> instance = pending.find(mark.subject());
        if (instance != null && !instance.data().mark().newerThan(mark)) {
            pending.fire(mark.subject(), MarkEvent.DURABLE_SEEN, MarkInput.NONE, now, effects);
        }
    }

    private void fire(MarkEvent event, MarkInput input, long now, Effects effects) {
        MarkSubject subject = input.mark().subject();
        if (pending.find(subject) == null) {
            pending.begin(subject, new MarkData(null, MarkData.NO_CALL, false, this), now);
        }
        pending.fire(subject, event, input, now, effects);
    }

    /**
     * Fires the due timers.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        directory.marks().advance(now);
        pending.advance(now, effects);
    }

    /**
     * Returns the time at which {@link #advance} is next due.
     *
     * @return the monotonic time, in nanoseconds; {@link Long#MAX_VALUE} if no timer is armed
     */
    public long nextDue() {
        return Math.min(directory.marks().nextDue(), pending.nextDue());
    }

    /**
     * Returns whether a mark is durable.
     *
     * @param mark the mark
     * @return whether the table service is known to store this mark or a newer one
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
        directory.applyMark(mark, now + Timing.millisToNanos(CLOSE_DELAY_MILLIS));
    }

    void pushToPeers(MarkRow mark, Effects effects) {
        List<MemberId> others = new ArrayList<>();
        for (MemberRow member : directory.members()) {
            if (!member.id().equals(self) && !member.status().hasEnded()) {
                others.add(member.id());
            }
        }
        Collections.shuffle(others, random);
        PeerMessage push = new PeerMessage.MarkPush(mark);
        others.stream().limit(PUSH_FANOUT).forEach(to -> effects.emit(new Effect.SendToPeer(to, push)));
    }

    void write(MarkRow mark, long now, Effects effects) {
        long version = directory.version(MarkRow.keyOf(mark.subject()));
        StoreRequest commit =
                new StoreRequest.Commit(List.of(new RowWrite(MarkRow.keyOf(mark.subject()), version, mark)));
        store.submitOnce(commit, now, effects, (reply, at, out) -> onStoreResult(mark, reply, at, out));
    }

    private void onStoreResult(MarkRow mark, StoreReply reply, long now, Effects effects) {
        Instance<MarkData> instance = pending.find(mark.subject());
        boolean isCurrent = instance != null && mark.equals(instance.data().mark());
        MarkEvent event = MarkEvent.FAILED;
        if (reply instanceof StoreReply.Committed committed) {
            event = MarkEvent.WRITTEN;
            committed.rows().forEach(row -> rowSink.onRowWritten(row, now, effects));
        } else if (reply instanceof StoreReply.Conflicted conflicted) {
            event = MarkEvent.CONFLICTED;
            conflicted.rows().forEach(row -> rowSink.onRowRead(row, now, effects));
        }
        if (isCurrent) {
            boolean effectUnknown = reply instanceof StoreReply.Failed failed
                    && failed.failure().effectUnknown();
            pending.fire(mark.subject(), event, new MarkInput(mark, MarkData.NO_CALL, effectUnknown), now, effects);
        }
    }

    long retryDelayNanos(boolean submittedLocally) {
        int millis = submittedLocally
                ? (int) LOCAL_MARK_RETRY_MILLIS
                : random.nextInt(PEER_MARK_RETRY_MIN_MILLIS, PEER_MARK_RETRY_MAX_MILLIS);
        return Timing.millisToNanos(millis);
    }

    void answer(MarkData data, CommandOutcome outcome, Effects effects) {
        MarkRow mark = data.mark();
        emit(
                data,
                CommandAnswer.applied(
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
        if (data.callId() != MarkData.NO_CALL) {
            effects.emit(new Effect.ReplyToOperator(data.callId(), answer));
        }
    }
}
