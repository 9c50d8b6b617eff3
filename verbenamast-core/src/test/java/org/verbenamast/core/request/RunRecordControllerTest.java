package org.verbenamast.core.request;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.gate.runs.RunKey;
import org.verbenamast.core.gate.runs.RunLimits;
import org.verbenamast.core.gate.runs.RunRecordController;
import org.verbenamast.core.gate.runs.RunStatus;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.ownership.GrantOrigin;
import org.verbenamast.core.ownership.SliceGrant;
import org.verbenamast.core.store.Row;

import static org.assertj.core.api.Assertions.assertThat;

class RunRecordControllerTest {

    private static final MemberId SELF = new MemberId("visit-0", 1);
    private static final MemberId OTHER = new MemberId("visit-1", 2);
    private static final SliceId SLICE = new SliceId(FaultyFleet.VISIT.name(), 0);
    private static final RunKey ORDER = new RunKey(SLICE, "order");
    private static final RequestId ID = new RequestId(OTHER, 1);
    private static final RunLimits LIMITS = new RunLimits(60_000, 540_000, 1_000, 2, 4, 8);
    private static final RequestOutcome ANSWER = new RequestOutcome.Answered(200, List.of(), new Body(new byte[4]));

    private final List<Effect> effects = new ArrayList<>();
    private final RunRecordController controller =
            new RunRecordController(SELF, FaultyFleet.VISIT, LIMITS, TransitionListener.NONE);

    @Test
    void should_keep_only_that_the_request_ran_when_the_answer_has_expired() {
        grant(1, GrantOrigin.CLAIMED, SELF, 0);
        run(ORDER, 0);
        assertThat(controller.outcome(ORDER)).isEqualTo(ANSWER);
        controller.advance(Timing.millisToNanos(60_001), effects::add);
        assertThat(controller.outcome(ORDER)).isEqualTo(new RequestOutcome.Unknown(UnknownReason.ANSWER_NOT_KEPT));
        assertThat(controller.status(ORDER, ID)).isEqualTo(RunStatus.ENDED);
    }

    @Test
    void should_be_uncertain_for_one_window_when_the_slice_was_taken_over() {
        grant(2, GrantOrigin.TAKEN_OVER, SELF, 0);
        assertThat(controller.status(ORDER, ID)).isEqualTo(RunStatus.UNCERTAIN);
        controller.advance(Timing.millisToNanos(60_001), effects::add);
        assertThat(controller.status(ORDER, ID)).isEqualTo(RunStatus.FRESH);
    }

    @Test
    void should_wait_for_all_parts_when_the_slice_was_handed_over() {
        controller.onRecords(new PeerMessage.RunRecords(SLICE, 2, 1, 2, List.of()), 0, effects::add);
        grant(2, GrantOrigin.HANDED_OVER, SELF, 1);
        assertThat(controller.status(ORDER, ID)).isEqualTo(RunStatus.AWAITED);
        controller.onRecords(new PeerMessage.RunRecords(SLICE, 2, 0, 2, List.of()), 2, effects::add);
        assertThat(controller.status(ORDER, ID)).isEqualTo(RunStatus.FRESH);
    }

    @Test
    void should_be_uncertain_when_the_earlier_owners_records_do_not_arrive() {
        grant(2, GrantOrigin.HANDED_OVER, SELF, 0);
        controller.advance(Timing.millisToNanos(1_001), effects::add);
        assertThat(controller.status(ORDER, ID)).isEqualTo(RunStatus.UNCERTAIN);
    }

    @Test
    void should_send_its_records_when_it_hands_over_the_slice() {
        grant(1, GrantOrigin.CLAIMED, SELF, 0);
        run(ORDER, 0);
        grant(2, GrantOrigin.HANDED_OVER, OTHER, 1);
        Effect.SendToPeer sent = (Effect.SendToPeer) effects.get(0);
        PeerMessage.RunRecords records = (PeerMessage.RunRecords) sent.message();
        assertThat(sent.to()).isEqualTo(OTHER);
        assertThat(records.epoch()).isEqualTo(2);
        assertThat(records.runs()).hasSize(1).allMatch(run -> run.outcome().equals(ANSWER));
    }

    @Test
    void should_refuse_more_runs_when_its_memory_is_full() {
        grant(1, GrantOrigin.CLAIMED, SELF, 0);
        run(ORDER, 0);
        run(new RunKey(SLICE, "second"), 0);
        assertThat(controller.status(new RunKey(SLICE, "third"), ID)).isEqualTo(RunStatus.FULL);
    }

    private void run(RunKey key, long now) {
        controller.onRunStarted(key, ID, now);
        controller.onRunEnded(key, ANSWER, now, effects::add);
    }

    private void grant(long epoch, GrantOrigin origin, MemberId owner, long now) {
        ChunkRow chunk = ChunkRow.vacant(FaultyFleet.VISIT, 0).with(0, new SliceGrant(owner, epoch, origin), "op");
        controller.onRow(new Row(ChunkRow.keyOf(FaultyFleet.VISIT.name(), 0), epoch, chunk), now, effects::add);
    }
}
