package org.verbenamast.core.admission;

import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks how an admission controller limits large answers to what the link carries. */
class TransferLimitTest extends AdmissionFixture {

    private long openLarge() {
        return open("large", RequestKind.DOWNLOAD, 1, 1_500, OptionalInt.empty());
    }

    /** Has the server answer two requests at once, and the senders receive the answers one every 300 ms. */
    private void receiveLargeAnswersSlowly() {
        long first = openLarge();
        long second = openLarge();
        now += Timing.millisToNanos(100);
        controller.onFinished(first, ServerOutcome.ANSWERED, now, effects::add);
        controller.onFinished(second, ServerOutcome.ANSWERED, now, effects::add);
        now += Timing.millisToNanos(300);
        controller.onReceived(first, now, effects::add);
        now += Timing.millisToNanos(300);
        controller.onReceived(second, now, effects::add);
        effects.clear();
    }

    @Test
    void should_queue_large_answers_alone_while_others_fill_the_link() {
        // given
        setServer(4, 0, 0, 0);
        receiveLargeAnswersSlowly();
        long one = openLarge();
        long two = openLarge();

        // when
        long delayed = openLarge();
        long small = open(2, 500, OptionalInt.empty());

        // then
        assertThat(dispatched()).containsExactly(one, two, small);
        assertThat(controller.nextDue()).as("nothing to do at once").isGreaterThan(now);

        // when
        controller.onFinished(one, ServerOutcome.ANSWERED, now, effects::add);
        assertThat(dispatched()).doesNotContain(delayed);
        controller.onReceived(one, now, effects::add);

        // then
        assertThat(dispatched()).containsExactly(one, two, small, delayed);
    }

    @Test
    void should_free_the_link_when_a_sender_of_a_large_answer_is_gone_or_its_deadline_passes() {
        // given
        setServer(4, 0, 0, 0);
        receiveLargeAnswersSlowly();
        long withdrawn = openLarge();
        long overdue = openLarge();
        controller.onFinished(withdrawn, ServerOutcome.ANSWERED, now, effects::add);
        controller.onFinished(overdue, ServerOutcome.ANSWERED, now, effects::add);

        // when
        controller.onWithdrawn(withdrawn, now, effects::add);
        now += Timing.millisToNanos(2_000);
        controller.advance(now, effects::add);
        effects.clear();
        long one = openLarge();
        long two = openLarge();

        // then
        assertThat(dispatched()).containsExactly(one, two);
    }
}
