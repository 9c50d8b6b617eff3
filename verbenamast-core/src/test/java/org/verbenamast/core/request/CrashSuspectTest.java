package org.verbenamast.core.request;

import java.util.List;
import java.util.function.IntFunction;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

class CrashSuspectTest {

    private static final FaultyFleet.Faults NONE = new FaultyFleet.Faults(0, 0, 0, 0, 0, 0, 0);
    private static final FaultyFleet.Faults SOME = new FaultyFleet.Faults(5, 0, 20, 0, 0, 1, 1);
    private static final int SEND_COUNT = 50;
    private static final int MAX_CRASHES = 2;

    @Property(tries = 30, seed = "20261211")
    void should_refuse_a_read_that_crashes_servers_when_its_caller_repeats_it(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        FaultyFleet fleet = new FaultyFleet(seed, NONE);
        sendRepeatedly(fleet, send -> request(Method.GET, ""));
        assertThat(fleet.crashes()).isEqualTo(MAX_CRASHES);
    }

    @Property(tries = 30, seed = "20261212")
    void should_refuse_an_order_that_crashes_servers_when_it_is_repeated_under_new_idempotency_keys(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        FaultyFleet fleet = new FaultyFleet(seed, NONE);
        sendRepeatedly(fleet, send -> request(Method.POST, "key-" + send));
        assertThat(fleet.crashes()).isBetween(1, MAX_CRASHES);
    }

    @Property(tries = 30, seed = "20261213")
    void should_refuse_a_crashing_request_at_every_node_when_nodes_are_lost_and_replaced(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        FaultyFleet fleet = new FaultyFleet(seed, SOME);
        sendRepeatedly(fleet, send -> request(Method.POST, ""));
        assertThat(fleet.crashes()).isBetween(1, MAX_CRASHES);
    }

    @Property(tries = 20, seed = "20261214")
    void should_answer_all_other_requests_when_one_request_crashes_servers(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        // given
        FaultyFleet fleet = new FaultyFleet(seed, NONE);
        sendRepeatedly(fleet, send -> request(Method.GET, ""));
        int before = fleet.outcomes().size();
        // when
        for (int i = 0; i < SEND_COUNT; i++) {
            fleet.send(harmlessRequest(i));
            fleet.runUntil(fleet.now() + Timing.millisToNanos(10));
        }
        fleet.runUntil(fleet.now() + Timing.millisToNanos(1_000));
        // then
        List<FaultyFleet.CallerOutcome> later =
                fleet.outcomes().subList(before, fleet.outcomes().size());
        List<String> refused = later.stream()
                .filter(reply -> !(reply.outcome() instanceof RequestOutcome.Answered))
                .map(reply -> reply.request().path() + " " + reply.outcome())
                .toList();
        assertThat(refused).isEmpty();
    }

    /** Sends the request repeatedly, each time after its caller has an outcome, among harmless requests. */
    private static void sendRepeatedly(FaultyFleet fleet, IntFunction<CallerRequest> requests) {
        for (int send = 0; send < SEND_COUNT; send++) {
            RequestId id = fleet.send(requests.apply(send));
            long giveUpAt = fleet.now() + Timing.millisToNanos(600);
            while (fleet.now() < giveUpAt
                    && fleet.outcomes().stream().noneMatch(reply -> reply.id().equals(id))) {
                fleet.send(harmlessRequest(send));
                fleet.runUntil(fleet.now() + Timing.millisToNanos(3));
            }
            fleet.injectFaults();
        }
        fleet.runUntil(fleet.now() + Timing.millisToNanos(3_000));
    }

    private static CallerRequest harmlessRequest(int number) {
        return request("/visits/" + number, Method.GET, "");
    }

    private static CallerRequest request(Method method, String key) {
        return request(FakeNode.CRASHING_PATH, method, key);
    }

    private static CallerRequest request(String path, Method method, String key) {
        return new CallerRequest(FaultyFleet.VISIT.name(), "", method, path, List.of(), Body.EMPTY, key, "");
    }
}
