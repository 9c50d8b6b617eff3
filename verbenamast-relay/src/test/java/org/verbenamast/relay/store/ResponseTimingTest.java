package org.verbenamast.relay.store;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseTimingTest {

    private static long at(long millis) {
        return Timing.millisToNanos(millis);
    }

    @Test
    void should_tell_the_wait_from_the_transfer_when_a_body_arrives_in_pieces() {
        // when
        ResponseTiming timing = ResponseTiming.of(at(1_000))
                .withPart(0, at(1_030))
                .withPart(600, at(1_040))
                .withPart(400, at(1_430));

        // then
        assertThat(timing.firstByteMillis()).isEqualTo(30);
        assertThat(timing.receiveMillis()).isEqualTo(400);
        assertThat(timing.bytes()).isEqualTo(1_000);
    }

    @Test
    void should_have_no_times_when_nothing_has_arrived() {
        ResponseTiming timing = ResponseTiming.of(at(1_000));

        assertThat(timing.firstByteMillis()).isZero();
        assertThat(timing.receiveMillis()).isZero();
        assertThat(timing.bytes()).isZero();
    }

    @Test
    void should_cover_all_pages_when_a_table_is_read_in_several_calls() {
        // given
        ResponseTiming first = ResponseTiming.of(at(1_000)).withPart(500, at(1_020));
        ResponseTiming second = ResponseTiming.of(at(1_030)).withPart(300, at(1_090));

        // when
        ResponseTiming timing = ResponseTiming.of(at(1_000)).withNextPage(first).withNextPage(second);

        // then
        assertThat(timing.firstByteMillis()).isEqualTo(20);
        assertThat(timing.receiveMillis()).isEqualTo(70);
        assertThat(timing.bytes()).isEqualTo(800);
    }

    @Test
    void should_keep_the_earlier_pages_when_the_next_one_does_not_arrive() {
        // given
        ResponseTiming first = ResponseTiming.of(at(1_000)).withPart(500, at(1_020));

        // when
        ResponseTiming timing = first.withNextPage(ResponseTiming.of(at(1_030)));

        // then
        assertThat(timing).isEqualTo(first);
    }
}
