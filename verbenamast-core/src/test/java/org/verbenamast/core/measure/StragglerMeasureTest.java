package org.verbenamast.core.measure;

import java.util.Locale;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenamast.core.hedge.HedgeRule;
import org.verbenamast.core.request.MemberSelector;
import org.verbenamast.core.request.RoutePolicy;

import static org.assertj.core.api.Assertions.assertThat;

class StragglerMeasureTest {

    private static final double MAX_WORK_PERCENT = 105;

    @ParameterizedTest
    @CsvSource({"1, 23, 30", "2, 26, 65", "3, 33, 135"})
    void should_keep_the_tail_short_when_some_of_fourteen_are_slow(int stragglers, double maxP99, double maxP999) {
        RoutingBench.Result random = measure(MemberSelector.RANDOM, HedgeRule.NEVER, stragglers);
        RoutingBench.Result roundRobin = measure(MemberSelector.ROUND_ROBIN, HedgeRule.NEVER, stragglers);
        RoutingBench.Result fewerInFlight = measure(MemberSelector.FEWER_IN_FLIGHT, HedgeRule.NEVER, stragglers);
        RoutingBench.Result soonerAnswer = measure(MemberSelector.SOONER_ANSWER, HedgeRule.NEVER, stragglers);
        RoutingBench.Result hedged = measure(MemberSelector.SOONER_ANSWER, HedgeRule.WHEN_SLOW, stragglers);
        assertThat(hedged.p99()).isLessThan(Math.min(random.p99(), roundRobin.p99()));
        assertThat(hedged.p99()).isLessThan(fewerInFlight.p99());
        assertThat(hedged.p999()).isLessThan(soonerAnswer.p999());
        assertThat(hedged.p99()).isLessThanOrEqualTo(maxP99);
        assertThat(hedged.p999()).isLessThanOrEqualTo(maxP999);
        assertThat(hedged.workPercent()).isLessThanOrEqualTo(MAX_WORK_PERCENT);
        assertThat(hedged.unanswered()).isZero();
    }

    private static RoutingBench.Result measure(MemberSelector choice, HedgeRule hedge, int stragglers) {
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
