package org.verbenamast.core.measure;

import java.util.Locale;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenamast.core.request.HedgeRule;
import org.verbenamast.core.request.RoutePolicy;
import org.verbenamast.core.request.ServerChoice;

import static org.assertj.core.api.Assertions.assertThat;

class StragglerMeasureTest {

    private static final double MAX_WORK_PERCENT = 105;

    @ParameterizedTest
    @CsvSource({"1, 23, 30", "2, 26, 65", "3, 33, 135"})
    void should_keep_the_tail_short_when_some_of_fourteen_are_slow(int stragglers, double mostP99, double mostP999) {
        RoutingBench.Result random = measure(ServerChoice.RANDOM, HedgeRule.NEVER, stragglers);
        RoutingBench.Result turns = measure(ServerChoice.ROUND_ROBIN, HedgeRule.NEVER, stragglers);
        RoutingBench.Result fewer = measure(ServerChoice.FEWER_IN_FLIGHT, HedgeRule.NEVER, stragglers);
        RoutingBench.Result sooner = measure(ServerChoice.SOONER_ANSWER, HedgeRule.NEVER, stragglers);
        RoutingBench.Result chosen = measure(ServerChoice.SOONER_ANSWER, HedgeRule.WHEN_SLOW, stragglers);
        assertThat(chosen.p99()).isLessThan(Math.min(random.p99(), turns.p99()));
        assertThat(chosen.p99()).isLessThan(fewer.p99());
        assertThat(chosen.p999()).isLessThan(sooner.p999());
        assertThat(chosen.p99()).isLessThanOrEqualTo(mostP99);
        assertThat(chosen.p999()).isLessThanOrEqualTo(mostP999);
        assertThat(chosen.workPercent()).isLessThanOrEqualTo(MAX_WORK_PERCENT);
        assertThat(chosen.unanswered()).isZero();
    }

    private static RoutingBench.Result measure(ServerChoice choice, HedgeRule hedge, int stragglers) {
        RoutingBench.Result result = RoutingBench.measure(new RoutePolicy(choice, hedge), stragglers);
        System.out.printf(
                Locale.ROOT,
                "stragglers %d of 14, %s, hedge %s: p50 %.2f, p99 %.2f, p99.9 %.2f ms, work %.2f %%, unanswered %d%n",
                stragglers,
                choice,
                hedge,
                result.p50(),
                result.p99(),
                result.p999(),
                result.workPercent(),
                result.unanswered());
        return result;
    }
}
