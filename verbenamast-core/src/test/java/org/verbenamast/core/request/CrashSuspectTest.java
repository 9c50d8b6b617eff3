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
    private static final int SENDS = 50;
    private static final int MOST_CRASHES = 2;

    @Property(tries = 30, seed = "20261211")
    void should_stop_a_read_that_crashes_servers_when_its_caller_sends_it_again(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        FaultyFleet fleet = new FaultyFleet(seed, NONE);
        sendAgainAndAgain(fleet, send -> request(Method.GET, ""));
        assertThat(fleet.crashes()).isEqualTo(MOST_CRASHES);
    }

    @Property(tries = 30, seed = "20261212")
    void should_stop_an_order_that_crashes_servers_when_it_comes_under_new_idempotency_keys(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        FaultyFleet fleet = new FaultyFleet(seed, NONE);
        sendAgainAndAgain(fleet, send -> request(Method.POST, "key-" + send));
        assertThat(fleet.crashes()).isBetween(1, MOST_CRASHES);
    }

    @Property(tries = 30, seed = "20261213")
    void should_stop_it_under_any_node_when_nodes_are_lost_and_replaced(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        FaultyFleet fleet = new FaultyFleet(seed, SOME);
        sendAgainAndAgain(fleet, send -> request(Method.POST, ""));
        assertThat(fleet.crashes()).isBetween(1, MOST_CRASHES);
    }

    @Property(tries = 20, seed = "20261214")
    void should_answer_everyone_else_when_a_request_crashes_servers(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        // given
        FaultyFleet fleet = new FaultyFleet(seed, NONE);
        sendAgainAndAgain(fleet, send -> request(Method.GET, ""));
        int before = fleet.told().size();
        // when
        for (int i = 0; i < SENDS; i++) {
            fleet.send(innocent(i));
            fleet.runUntil(fleet.now() + Timing.millisToNanos(10));
        }
        fleet.runUntil(fleet.now() + Timing.millisToNanos(1_000));
        // then
        List<FaultyFleet.Told> later = fleet.told().subList(before, fleet.told().size());
        List<String> refused = later.stream()
                .filter(told -> !(told.outcome() instanceof RequestOutcome.Answered))
                .map(told -> told.request().path() + " " + told.outcome())
                .toList();
        assertThat(refused).isEmpty();
    }

    /** Sends the request as soon as its caller has an outcome, among others that do no harm. */
    private static void sendAgainAndAgain(FaultyFleet fleet, IntFunction<CallerRequest> requests) {
        for (int send = 0; send < SENDS; send++) {
            RequestId id = fleet.send(requests.apply(send));
            long patience = fleet.now() + Timing.millisToNanos(600);
            while (fleet.now() < patience
                    && fleet.told().stream().noneMatch(told -> told.id().equals(id))) {
                fleet.send(innocent(send));
                fleet.runUntil(fleet.now() + Timing.millisToNanos(3));
            }
            fleet.misfortune();
        }
        fleet.runUntil(fleet.now() + Timing.millisToNanos(3_000));
    }

    private static CallerRequest innocent(int number) {
        return request("/visits/" + number, Method.GET, "");
    }

    private static CallerRequest request(Method method, String key) {
        return request(FakeNode.CRASHING, method, key);
    }

    private static CallerRequest request(String path, Method method, String key) {
        return new CallerRequest(FaultyFleet.VISIT.name(), "", method, path, List.of(), Body.EMPTY, key, "");
    }
}
