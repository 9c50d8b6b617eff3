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
    private static final int ORDER_COUNT = 150;
    private static final int SENDS_PER_ORDER = 4;

    @Property(tries = 60, seed = "20261204")
    void should_run_each_order_at_most_once_when_everything_fails(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        // given
        FaultyFleet fleet = new FaultyFleet(seed, ALL);
        // when
        sendOrders(fleet);
        // then
        fleet.executions().forEach((identity, executions) -> {
            if (!identity.startsWith(FaultyFleet.IDEMPOTENT)) {
                assertThat(executions).as(identity).hasSize(1);
            }
        });
    }

    @Property(tries = 30, seed = "20261208")
    void should_never_exceed_a_servers_limit_when_everything_fails(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        FaultyFleet fleet = new FaultyFleet(seed, ALL);
        sendOrders(fleet);
        assertThat(fleet.peakRequestsAtServer()).isBetween(1, FakeNode.CONCURRENCY_LIMIT);
    }

    @Property(tries = 60, seed = "20261205")
    void should_not_have_run_the_request_when_its_caller_receives_not_run(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        // given
        FaultyFleet fleet = new FaultyFleet(seed, ALL);
        // when
        sendOrders(fleet);
        // then
        for (FaultyFleet.CallerOutcome reply : fleet.outcomes()) {
            if (reply.outcome() instanceof RequestOutcome.NotRun) {
                String order = FaultyFleet.identity(reply.id(), reply.request());
                assertThat(fleet.executions().getOrDefault(order, List.of()))
                        .as("executions of %s before its caller received %s", order, reply.outcome())
                        .noneMatch(execution -> execution <= reply.at());
            }
        }
    }

    @Property(tries = 40, seed = "20261206")
    void should_give_each_caller_its_own_answer_when_replies_arrive_late_or_twice(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        // given
        FaultyFleet fleet = new FaultyFleet(seed, ALL);
        // when
        sendOrders(fleet);
        // then
        int answers = 0;
        for (FaultyFleet.CallerOutcome reply : fleet.outcomes()) {
            if (reply.outcome() instanceof RequestOutcome.Answered answered) {
                answers++;
                assertThat(new String(answered.body().bytes(), StandardCharsets.UTF_8))
                        .isEqualTo(FaultyFleet.echo(reply.request()));
            }
        }
        assertThat(answers).isGreaterThan(ORDER_COUNT);
        assertThat(fleet.outcomes().stream().map(FaultyFleet.CallerOutcome::id)).doesNotHaveDuplicates();
    }

    @Test
    void should_answer_every_order_when_nothing_fails() {
        FaultyFleet fleet = new FaultyFleet(1, NONE);
        sendOrders(fleet);
        assertThat(fleet.outcomes()).allMatch(reply -> reply.outcome() instanceof RequestOutcome.Answered);
        assertThat(fleet.executions().size()).isGreaterThanOrEqualTo(ORDER_COUNT);
    }

    @Property(tries = 20, seed = "20261207")
    void should_answer_every_order_when_nodes_only_stop(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        // given
        FaultyFleet fleet = new FaultyFleet(seed, STOPS);
        // when
        sendOrders(fleet);
        // then
        List<String> failed = fleet.outcomes().stream()
                .filter(reply -> !(reply.outcome() instanceof RequestOutcome.Answered))
                .map(reply -> reply.request().method() + " " + reply.id() + " " + reply.outcome() + " " + reply.at())
                .limit(5)
                .toList();
        assertThat(failed).isEmpty();
    }

    /** Sends reads, orders without an idempotency key, and orders with one, each of them several times, to any node. */
    private static void sendOrders(FaultyFleet fleet) {
        List<CallerRequest> resends = new ArrayList<>();
        for (int i = 0; i < ORDER_COUNT; i++) {
            CallerRequest order = request(Method.POST, "/visits", "order-" + i);
            fleet.send(order);
            fleet.send(request(Method.GET, "/visits/" + i, ""));
            fleet.send(request(Method.POST, "/notes/" + i, ""));
            for (int send = 1; send < SENDS_PER_ORDER; send++) {
                resends.add(order);
            }
            fleet.injectFaults();
            fleet.runUntil(fleet.now() + fleet.millis(1, 30));
            while (resends.size() > ORDER_COUNT / 10) {
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
