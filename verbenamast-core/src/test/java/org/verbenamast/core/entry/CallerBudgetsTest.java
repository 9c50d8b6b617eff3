package org.verbenamast.core.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CallerBudgetsTest {

    private final CallerBudgets budgets = new CallerBudgets();

    @Test
    void should_tell_the_time_since_the_first_attempt_when_a_caller_returns() {
        assertThat(budgets.spentMillis("stock", 2_000)).isZero();
        assertThat(budgets.spentMillis("stock", 1_400)).isEqualTo(600);
        assertThat(budgets.spentMillis("stock", 2_000)).isZero();
    }

    @Test
    void should_keep_routes_apart_when_their_callers_have_other_budgets() {
        budgets.spentMillis("stock", 2_000);
        assertThat(budgets.spentMillis("book", 900)).isZero();
    }

    @Test
    void should_follow_the_callers_when_they_begin_with_less_than_before() {
        // given
        budgets.spentMillis("stock", 9_000);

        // when
        for (int i = 0; i < 2_000; i++) {
            budgets.spentMillis("stock", 2_000);
        }

        // then
        assertThat(budgets.spentMillis("stock", 2_000)).isZero();
    }
}
