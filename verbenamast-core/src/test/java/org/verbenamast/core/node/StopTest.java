package org.verbenamast.core.node;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.StopReason;
import org.verbenamast.core.gate.ServerReply;
import org.verbenamast.core.gate.ServerReplyKind;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberStatus;
import org.verbenamast.core.membership.Rows;
import org.verbenamast.core.membership.ServerAnnouncement;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.ownership.FakeStore;
import org.verbenamast.core.request.Body;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.core.request.Method;
import org.verbenamast.core.request.RequestOutcome;

import static org.assertj.core.api.Assertions.assertThat;

class StopTest {

    private static final MemberId SELF = Rows.member(1);
    private static final RequestId REQUEST = new RequestId(SELF, 1);
    private static final long STEP_NANOS = Duration.ofMillis(10).toNanos();
    private static final long REQUEST_TIMEOUT_NANOS = Duration.ofSeconds(9).toNanos();
    private static final RequestOutcome.Answered ANSWER =
            new RequestOutcome.Answered(200, List.of(), new Body(new byte[] {1}));

    private final NodeCore node = new NodeCore(Rows.settings(SELF, Rows.STOCK, List.of()));
    private final FakeStore store = new FakeStore();
    private final List<Effect> otherEffects = new ArrayList<>();
    private final Deque<NodeInput> storeReplies = new ArrayDeque<>();
    private long now = STEP_NANOS;

    @Test
    void should_answer_the_request_give_up_the_slices_and_end_when_asked_to_stop() {
        deliver(new NodeInput.ServerAnnounced(
                new ServerAnnouncement(Rows.STOCK.name(), new Address("10.0.0.1", 9000), "run-1", 10, 0, false)));
        runFor(Duration.ofSeconds(3));
        assertThat(node.ownership().ownedSliceCount()).isEqualTo(Rows.STOCK.slices());
        deliver(new NodeInput.CallerArrived(REQUEST, request(), now + REQUEST_TIMEOUT_NANOS));
        deliver(new NodeInput.StopRequested());
        runFor(Duration.ofSeconds(5));
        assertThat(node.ownership().ownedSliceCount()).isEqualTo(1);
        assertThat(otherEffects).noneMatch(Effect.StopProcess.class::isInstance);
        deliver(new NodeInput.ServerReplied(REQUEST, new ServerReply(ServerReplyKind.ANSWERED, ANSWER)));
        runFor(Duration.ofSeconds(1));
        assertThat(otherEffects)
                .contains(new Effect.ReplyToCaller(REQUEST, ANSWER))
                .endsWith(new Effect.StopProcess(StopReason.ASKED));
        assertThat(((MemberRow) store.row(MemberRow.keyOf(SELF)).value()).status())
                .isEqualTo(MemberStatus.ENDED);
        ChunkRow chunk =
                (ChunkRow) store.row(ChunkRow.keyOf(Rows.STOCK.name(), 0)).value();
        assertThat(chunk.grants()).allMatch(grant -> grant.owner().isNone());
    }

    private static CallerRequest request() {
        return new CallerRequest(Rows.STOCK.name(), "key", Method.POST, "/", List.of(), Body.EMPTY, "", "");
    }

    private void runFor(Duration time) {
        for (long until = now + time.toNanos(); now < until; now += STEP_NANOS) {
            deliver(storeReplies.isEmpty() ? new NodeInput.Tick() : storeReplies.poll());
        }
    }

    private void deliver(NodeInput input) {
        for (Effect effect : node.handle(input, now)) {
            if (effect instanceof Effect.CallStore call) {
                storeReplies.add(new NodeInput.StoreReplied(call.callId(), store.execute(call.request())));
            } else {
                otherEffects.add(effect);
            }
        }
    }
}
