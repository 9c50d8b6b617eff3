package org.verbenamast.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.model.ServerLoad;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

/** What the admission controller learns from a server's own reports. */
class ServerReportTest extends AdmissionFixture {

    private static final ServerLoad WITH_ROOM = new ServerLoad(0, 0, 4, 100);

    @Test
    void should_leave_slots_to_withdrawn_requests_that_the_server_has_not_dropped() {
        // given
        setServer(4, 0, 0, 0);
        List<Long> withdrawn = new ArrayList<>(List.of(open(), open(), open()));
        long answered = open();
        withdrawn.forEach(id -> controller.onWithdrawn(id, now, effects::add));

        // when
        controller.onServerLoad(new ServerLoad(4, 0, 4, 100), now);
        controller.onServerLoad(new ServerLoad(4, 0, 4, 100), now);
        controller.onFinished(answered, ServerOutcome.ANSWERED, now, effects::add);
        long admitted = open();
        open();

        // then
        assertThat(dispatched()).hasSize(5).endsWith(admitted);
        now += Timing.millisToNanos(300);
        controller.advance(now, effects::add);
        assertThat(dispatched()).as("once what was reported has ended").hasSize(6);
    }

    private long open() {
        return open(1, 1_500, OptionalInt.empty());
    }

    @Test
    void should_use_all_slots_when_a_single_report_overlaps_with_an_answer() {
        // given
        setServer(2, 0, 0, 0);
        long first = open();
        long second = open();
        controller.onFinished(first, ServerOutcome.ANSWERED, now, effects::add);

        // when
        controller.onServerLoad(new ServerLoad(2, 0, 2, 100), now);
        controller.onFinished(second, ServerOutcome.ANSWERED, now, effects::add);
        open();
        open();

        // then
        assertThat(dispatched()).hasSize(4);
    }

    @Test
    void should_report_a_longer_service_time_when_the_server_rejects_requests_although_it_has_room() {
        // given
        setServer(4, 0, 0, 0);

        // when
        for (int i = 0; i < 30; i++) {
            long id = open();
            now += Timing.millisToNanos(100);
            controller.onServerLoad(WITH_ROOM, now);
            controller.onFinished(id, i % 2 == 0 ? ServerOutcome.REJECTED : ServerOutcome.ANSWERED, now, effects::add);
        }

        // then
        assertThat(controller.load(now).running()).isZero();
        assertThat(controller.load(now).serviceMillis())
                .as("two sends of 100 ms for an answer")
                .isBetween(150, 300);
    }

    @Test
    void should_let_a_rejected_request_return_soon_when_the_server_has_room() {
        // given
        setServer(4, 0, 0, 0);
        long id = open();

        // when
        controller.onServerLoad(WITH_ROOM, now);
        controller.onFinished(id, ServerOutcome.REJECTED, now, effects::add);

        // then
        assertThat(controller.rejectedRetryMillis()).isLessThan(50);
    }

    @Test
    void should_let_a_rejected_request_return_later_when_the_server_is_full() {
        // given
        setServer(4, 0, 0, 0);
        long id = open();
        open();
        open();
        open();
        open();

        // when
        controller.onServerLoad(new ServerLoad(4, 3, 4, 100), now);

        // then
        assertThat(controller.rejectedRetryMillis())
                .as("service time of 100 ms, four slots, one request waits")
                .isGreaterThanOrEqualTo(50);
        controller.onFinished(id, ServerOutcome.REJECTED, now, effects::add);
    }
}
