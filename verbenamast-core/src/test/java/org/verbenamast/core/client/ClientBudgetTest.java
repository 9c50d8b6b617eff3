package org.verbenamast.core.client;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Crowds of clients that hold more than the process can bear. */
class ClientBudgetTest {

    private static final long ORDINARY = ClientBudget.ORDINARY_BYTES;
    private static final long LIMIT = 16 * ORDINARY;

    private final ClientBudget<String> budget = new ClientBudget<>(new ClientLimits(LIMIT, 4, 16));

    private void open(String client, long bytes, long progressAt) {
        assertThat(budget.open(client, progressAt)).isEmpty();
        budget.record(client, bytes, true, progressAt);
    }

    @Test
    void should_close_the_client_without_progress_for_longest_when_all_connections_are_taken() {
        // given
        open("stale", 0, 1);
        open("slow", 0, 2);
        open("late", 0, 3);
        open("busy", 0, 4);

        // then
        assertThat(budget.open("new", 5)).contains("stale");
    }

    @Test
    void should_refuse_the_new_client_when_all_others_make_progress() {
        // given
        for (String client : new String[] {"a", "b", "c", "d"}) {
            open(client, 0, 5);
        }

        // then
        assertThat(budget.open("new", 5)).contains("new");
    }

    @Test
    void should_keep_room_for_ordinary_clients_when_large_ones_have_their_part() {
        // given
        open("large", 12 * ORDINARY, 1);
        open("other", 0, 1);

        // then
        assertThat(budget.permits("other", 2 * ORDINARY)).isFalse();
        assertThat(budget.permits("large", 1)).isFalse();
        assertThat(budget.permits("other", ORDINARY)).isTrue();
    }

    @Test
    void should_serve_one_large_request_in_calm_however_small_the_budget_is() {
        // given
        open("only", 0, 1);
        open("idle", 0, 1);

        // then
        assertThat(budget.permits("only", 2 * LIMIT)).isTrue();
    }

    @Test
    void should_close_large_clients_without_progress_before_others_when_all_hold_too_much() {
        // given
        open("ordinary", ORDINARY, 1);
        open("stalled", 6 * ORDINARY, 2);
        open("stalled and larger", 7 * ORDINARY, 2);
        open("moving", 8 * ORDINARY, 3);

        // then
        assertThat(budget.victim()).contains("stalled and larger");
        budget.close("stalled and larger");
        assertThat(budget.victim()).isEmpty();
        assertThat(budget.heldBytes()).isEqualTo(15 * ORDINARY);
    }

    @Test
    void should_count_nothing_of_a_client_that_is_closed() {
        // given
        open("gone", 5, 1);

        // when
        budget.close("gone");
        budget.record("gone", 100, true, 2);

        // then
        assertThat(budget.heldBytes()).isZero();
        assertThat(budget.clients()).isZero();
    }
}
