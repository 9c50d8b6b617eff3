package org.verbenamast.core.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.RowListener;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.StoreController;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRetryPolicy;

/**
 * The controllers of one node for operators' commands and marks, with its unanswered calls to the table service and the
 * messages that it sent.
 */
final class OperatorControllers implements RowListener {

    static final ServiceSettings STOCK = new ServiceSettings(new ServiceName("stock"), true, 16, 16, true);
    static final Zone JKT = new Zone("jkt");
    static final Zone BDG = new Zone("bdg");

    final Directory directory = new Directory(List.of(STOCK));
    final Map<Long, List<CommandAnswer>> answers = new HashMap<>();
    final List<Effect.CallStore> pendingCalls = new ArrayList<>();
    final List<PeerMessage> sentMessages = new ArrayList<>();
    final CommandController commands;
    final MarkController marks;
    private final StoreController store;
    private long now;

    OperatorControllers(int number, LimitUsage usage) {
        this.store =
                new StoreController(new StoreRetryPolicy(Timing.millisToNanos(1_000), number), TransitionListener.NONE);
        FleetView fleet = new FleetView(directory, List.of(STOCK), Set.of(JKT, BDG), usage);
        MemberId self = new MemberId("node-" + number, 1);
        CoreSettings settings = new CoreSettings(
                self,
                STOCK.name(),
                JKT,
                new Address("127.0.0.1", 1),
                List.of(STOCK),
                List.of(),
                Timing.DEFAULT,
                1,
                Set.of(),
                TestSigner.OPERATORS,
                number);
        this.commands =
                new CommandController(TestSigner.OPERATORS, directory, fleet, store, this, TransitionListener.NONE);
        this.marks = new MarkController(settings, directory, fleet, store, this, TransitionListener.NONE);
    }

    @Override
    public void onRowWritten(Row row, long at, Effects effects) {
        onRowRead(row, at, effects);
    }

    @Override
    public void onRowRead(Row row, long at, Effects effects) {
        if (directory.apply(row)) {
            marks.onRow(row, at, this::onEffect);
        }
    }

    private void onEffect(Effect effect) {
        if (effect instanceof Effect.CallStore call) {
            pendingCalls.add(call);
        } else if (effect instanceof Effect.ReplyToOperator answer) {
            answers.computeIfAbsent(answer.callId(), call -> new ArrayList<>()).add(answer.answer());
        } else if (effect instanceof Effect.SendToPeer send) {
            sentMessages.add(send.message());
        }
    }

    void submit(long call, ChangeCommand command) {
        commands.submit(call, command, now, this::onEffect);
    }

    void submit(long call, MarkRow mark) {
        marks.submit(call, mark, now, this::onEffect);
    }

    void onMarkPush(MarkRow mark) {
        marks.onMarkPush(mark, now, this::onEffect);
    }

    void onRow(Row row) {
        onRowRead(row, now, this::onEffect);
    }

    void reply(Effect.CallStore call, StoreReply reply) {
        store.onReply(call.callId(), reply, now, this::onEffect);
    }

    void advanceMillis(long millis) {
        now += Timing.millisToNanos(millis);
        store.advance(now, this::onEffect);
        commands.advance(now, this::onEffect);
        marks.advance(now, this::onEffect);
    }

    void settle(FakeStore tables) {
        for (int i = 0; i < 100; i++) {
            while (!pendingCalls.isEmpty()) {
                Effect.CallStore call = pendingCalls.remove(0);
                reply(call, tables.serve(call.request()));
            }
            advanceMillis(100);
        }
    }

    CommandAnswer answer(long call) {
        return answers.get(call).get(0);
    }
}
