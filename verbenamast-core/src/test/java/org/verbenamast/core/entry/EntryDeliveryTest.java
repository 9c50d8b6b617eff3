package org.verbenamast.core.entry;

import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks how long the delivery of an answer may take. */
class EntryDeliveryTest extends EntryFixture {

    @Test
    void should_break_off_an_answer_that_is_still_being_delivered_at_the_deadline() {
        // given
        join("one");
        long id = open(RequestKind.DOWNLOAD, OptionalInt.empty());
        controller.onAnswer(id, 0, false, IDLE, now, effects::add);
        effects.clear();

        // when
        now += Timing.millisToNanos(1_000);
        controller.advance(now, effects::add);

        // then
        assertThat(effects).containsExactly(new EntryEffect.Withdraw(id), new EntryEffect.AbortAnswer(id));
        assertThat(controller.isIdle()).isTrue();
    }

    @Test
    void should_go_on_with_an_answer_that_is_being_delivered_when_open_requests_are_answered() {
        // given
        join("one");
        long id = open(RequestKind.DOWNLOAD, OptionalInt.empty());
        controller.onAnswer(id, 0, false, IDLE, now, effects::add);
        effects.clear();

        // when
        controller.expireAll(now, effects::add);

        // then
        assertThat(effects).isEmpty();
    }
}
