package org.verbenamast.core.store;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.ownership.ChunkRow;

import static org.assertj.core.api.Assertions.assertThat;

class StoreControllerTest {

    private static final long TIMEOUT = Timing.millisToNanos(100);
    private static final ServiceSettings SERVICE = new ServiceSettings(new ServiceName("stock"), true, 1, 1, true);
    private static final RowKey KEY = ChunkRow.keyOf(SERVICE.name(), 0);
    private static final StoreRequest COMMIT = new StoreRequest.Commit(List.of(new RowWrite(KEY, 1, row("mine"))));
    private static final StoreReply DOWN = new StoreReply.Failed(StoreFailure.UNAVAILABLE);
    private static final StoreReply REPLY_LOST = new StoreReply.Failed(StoreFailure.NO_ANSWER);

    private final StoreController controller =
            new StoreController(new StoreRetryPolicy(TIMEOUT, 1), TransitionListener.NONE);
    private final List<Effect.CallStore> sent = new ArrayList<>();
    private final List<StoreReply> replies = new ArrayList<>();
    private long now;

    private static ChunkRow row(String operation) {
        ChunkRow vacant = ChunkRow.vacant(SERVICE, 0);
        return vacant.with(0, vacant.grants().get(0), operation);
    }

    private static StoreReply read(long version, String operation) {
        return new StoreReply.RowsRead(List.of(new Row(KEY, version, row(operation))));
    }

    private void submit(StoreRequest request) {
        controller.submit(request, now, this::recordCall, (reply, at, out) -> replies.add(reply));
    }

    private void recordCall(Effect effect) {
        sent.add((Effect.CallStore) effect);
    }

    private void reply(StoreReply reply) {
        controller.onReply(sent.get(sent.size() - 1).callId(), reply, now, this::recordCall);
    }

    private void advanceToNextOutput() {
        int before = sent.size() + replies.size();
        while (sent.size() + replies.size() == before) {
            now = controller.nextDue();
            controller.advance(now, this::recordCall);
        }
    }

    @Test
    void should_report_the_commit_when_the_read_back_shows_its_operation() {
        submit(COMMIT);
        reply(REPLY_LOST);
        advanceToNextOutput();
        assertThat(sent.get(1).request()).isEqualTo(new StoreRequest.ReadRow(KEY));
        reply(read(2, "mine"));
        assertThat(replies).singleElement().isInstanceOf(StoreReply.Committed.class);
    }

    @Test
    void should_send_the_same_commit_when_the_read_back_shows_no_change() {
        submit(COMMIT);
        reply(REPLY_LOST);
        advanceToNextOutput();
        reply(read(1, "earlier"));
        assertThat(sent.get(2).request()).isEqualTo(COMMIT);
    }

    @Test
    void should_report_the_commit_when_a_late_attempt_took_effect_before_the_next() {
        submit(COMMIT);
        reply(REPLY_LOST);
        advanceToNextOutput();
        reply(read(1, "earlier"));
        reply(new StoreReply.Conflicted(List.of(new Row(KEY, 2, row("mine")))));
        assertThat(replies).singleElement().isInstanceOf(StoreReply.Committed.class);
    }

    @Test
    void should_report_a_conflict_when_the_read_back_shows_another_operation() {
        submit(COMMIT);
        reply(REPLY_LOST);
        advanceToNextOutput();
        reply(read(2, "other"));
        assertThat(replies).singleElement().isInstanceOf(StoreReply.Conflicted.class);
    }

    @Test
    void should_ignore_a_reply_when_it_belongs_to_an_earlier_attempt() {
        submit(COMMIT);
        long first = sent.get(0).callId();
        advanceToNextOutput();
        controller.onReply(first, new StoreReply.Conflicted(List.of()), now, this::recordCall);
        assertThat(replies).isEmpty();
    }

    @Test
    void should_keep_the_effect_unknown_when_a_refusal_follows_a_lost_reply() {
        submit(COMMIT);
        reply(REPLY_LOST);
        while (replies.isEmpty()) {
            advanceToNextOutput();
            reply(DOWN);
        }
        assertThat(replies).containsExactly(REPLY_LOST);
    }

    @Test
    void should_bound_the_attempts_when_the_table_service_refuses_many_calls() {
        int calls = 100;
        for (int i = 0; i < calls; i++) {
            submit(COMMIT);
            int before = replies.size();
            reply(DOWN);
            while (replies.size() == before) {
                advanceToNextOutput();
                reply(DOWN);
            }
        }
        assertThat(replies).hasSize(calls);
        assertThat(sent)
                .as("first attempts, a budget of 10 retries, and one more retry for every 5 calls")
                .hasSizeLessThanOrEqualTo(calls + 10 + calls / 5);
    }

    @Test
    void should_back_off_longer_when_attempts_fail_again() {
        submit(COMMIT);
        List<Long> pauses = new ArrayList<>();
        for (int i = 0; i < StoreRetryPolicy.LAST_ATTEMPT; i++) {
            long failedAt = now;
            reply(DOWN);
            advanceToNextOutput();
            pauses.add(now - failedAt);
        }
        assertThat(pauses).isSorted();
        assertThat(pauses.get(0)).isGreaterThanOrEqualTo(Timing.millisToNanos(25));
    }
}
