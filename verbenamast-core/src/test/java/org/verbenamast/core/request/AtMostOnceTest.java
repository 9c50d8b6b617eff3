package org.verbenamast.core.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

class AtMostOnceTest {

    private static final FaultyFleet.Faults NONE = new FaultyFleet.Faults(0, 0, 0, 0, 0, 0, 0);
    private static final FaultyFleet.Faults ALL = new FaultyFleet.Faults(15, 5, 30, 20, 2, 3, 1);
    private static final FaultyFleet.Faults STOPS = new FaultyFleet.Faults(0, 0, 0, 0, 0, 0, 3);
    private static final int ORDERS = 150;
    private static final int SENDS = 4;

    @Property(tries = 60, seed = "20261204")
    void should_run_each_order_at_most_once_when_everything_fails(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        // given
        FaultyFleet fleet = new FaultyFleet(seed, ALL);
        // when
        order(fleet);
        // then
        fleet.runs().forEach((identity, runs) -> {
            if (!identity.startsWith(FaultyFleet.IDEMPOTENT)) {
                assertThat(runs).as(identity).hasSize(1);
            }
        });
    }

    @Property(tries = 30, seed = "20261208")
    void should_never_exceed_a_servers_limit_when_everything_fails(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        FaultyFleet fleet = new FaultyFleet(seed, ALL);
        order(fleet);
        assertThat(fleet.peak()).isBetween(1, FakeNode.SLOTS);
    }

    @Property(tries = 60, seed = "20261205")
    void should_be_true_when_a_caller_is_told_not_run(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        // given
        FaultyFleet fleet = new FaultyFleet(seed, ALL);
        // when
        order(fleet);
        // then
        for (FaultyFleet.Told told : fleet.told()) {
            if (told.outcome() instanceof RequestOutcome.NotRun) {
                String order = FaultyFleet.identity(told.id(), told.request());
                assertThat(fleet.runs().getOrDefault(order, List.of()))
                        .as("runs of %s before %s was told", order, told.outcome())
                        .noneMatch(run -> run <= told.at());
            }
        }
    }

    @Property(tries = 40, seed = "20261206")
    void should_give_each_caller_its_own_answer_when_replies_come_late_or_twice(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        // given
        FaultyFleet fleet = new FaultyFleet(seed, ALL);
        // when
        order(fleet);
        // then
        int answers = 0;
        for (FaultyFleet.Told told : fleet.told()) {
            if (told.outcome() instanceof RequestOutcome.Answered answered) {
                answers++;
                assertThat(new String(answered.body().bytes(), StandardCharsets.UTF_8))
                        .isEqualTo(FaultyFleet.echo(told.request()));
            }
        }
        assertThat(answers).isGreaterThan(ORDERS);
        assertThat(fleet.told().stream().map(FaultyFleet.Told::id)).doesNotHaveDuplicates();
    }

    @Test
    void should_answer_every_order_when_nothing_fails() {
        FaultyFleet fleet = new FaultyFleet(1, NONE);
        order(fleet);
        assertThat(fleet.told()).allMatch(told -> told.outcome() instanceof RequestOutcome.Answered);
        assertThat(fleet.runs().size()).isGreaterThanOrEqualTo(ORDERS);
    }

    @Property(tries = 20, seed = "20261207")
    void should_answer_every_order_when_nodes_only_stop(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        // given
        FaultyFleet fleet = new FaultyFleet(seed, STOPS);
        // when
        order(fleet);
        // then
        List<String> failed = fleet.told().stream()
                .filter(told -> !(told.outcome() instanceof RequestOutcome.Answered))
                .map(told -> told.request().method() + " " + told.id() + " " + told.outcome() + " " + told.at())
                .limit(5)
                .toList();
        assertThat(failed).isEmpty();
    }

    /** Sends orders, reads and orders without an idempotency key; each order is sent several times, to any node. */
    private static void order(FaultyFleet fleet) {
        List<CallerRequest> resends = new ArrayList<>();
        for (int i = 0; i < ORDERS; i++) {
            CallerRequest order = request(Method.POST, "/visits", "order-" + i);
            fleet.send(order);
            fleet.send(request(Method.GET, "/visits/" + i, ""));
            fleet.send(request(Method.POST, "/notes/" + i, ""));
            for (int send = 1; send < SENDS; send++) {
                resends.add(order);
            }
            fleet.misfortune();
            fleet.runUntil(fleet.now() + fleet.millis(1, 30));
            while (resends.size() > ORDERS / 10) {
                fleet.send(resends.remove(fleet.random(resends.size())));
            }
        }
        resends.forEach(fleet::send);
        fleet.runUntil(fleet.now() + Timing.millisToNanos(3_000));
    }

    private static CallerRequest request(Method method, String path, String key) {
        Body body = new Body(("body of " + key).getBytes(StandardCharsets.UTF_8));
        return new CallerRequest(FaultyFleet.VISIT.name(), "", method, path, List.of(), body, key, "");
    }
}
