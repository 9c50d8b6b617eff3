package org.verbenamast.core.manifest;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceRotationTest {

    private static Route route(Split... splits) {
        return new Route("r", "shop", "/", RequestKind.SAFE, 1_000, 500, 1, 1, false, List.of(splits));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.3, 0.69, 0.7, 0.999})
    void should_give_each_service_its_share_of_any_few_requests(double drawn) {
        // given
        ServiceRotation rotation = new ServiceRotation(() -> drawn);
        Route route = route(new Split("old", 7), new Split("unused", 0), new Split("new", 3));
        Map<String, Integer> counts = new HashMap<>();

        for (int requests = 1; requests <= 200; requests++) {
            // when
            counts.merge(rotation.next(route, 1).orElseThrow(), 1, Integer::sum);

            // then
            assertThat((double) counts.getOrDefault("new", 0)).isBetween(requests * 0.3 - 1, requests * 0.3 + 1);
            assertThat(counts).doesNotContainKey("unused");
        }
    }

    @Test
    void should_give_each_service_its_share_when_many_nodes_get_few_requests_each() {
        // given
        Random random = new Random(5);
        Route route = route(new Split("old", 9), new Split("new", 1));
        int served = 0;

        // when
        for (int node = 0; node < 1_000; node++) {
            ServiceRotation rotation = new ServiceRotation(random::nextDouble);
            served += rotation.next(route, 1).orElseThrow().equals("new") ? 1 : 0;
        }

        // then
        assertThat(served).isBetween(50, 150);
    }

    @Test
    void should_follow_the_weights_of_a_new_version() {
        // given
        ServiceRotation rotation = new ServiceRotation(() -> 0);
        rotation.next(route(new Split("old", 1), new Split("new", 1)), 1);

        // then
        for (int requests = 0; requests < 10; requests++) {
            assertThat(rotation.next(route(new Split("old", 0), new Split("new", 1)), 2))
                    .contains("new");
        }
    }

    @Test
    void should_select_no_service_when_all_weights_are_zero() {
        ServiceRotation rotation = new ServiceRotation(() -> 0.5);
        assertThat(rotation.next(route(new Split("old", 0), new Split("new", 0)), 1))
                .isEmpty();
        assertThat(rotation.next(route(new Split("old", 0)), 1)).isEmpty();
    }

    @Test
    void should_keep_the_proportions_when_weights_are_as_large_as_numbers_can_be() {
        ServiceRotation rotation = new ServiceRotation(() -> 0.5);
        Route route = route(new Split("old", Long.MAX_VALUE), new Split("new", Long.MAX_VALUE));
        assertThat(List.of(
                        rotation.next(route, 1).orElseThrow(),
                        rotation.next(route, 1).orElseThrow()))
                .containsExactlyInAnyOrder("old", "new");
    }
}
