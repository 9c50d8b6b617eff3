package org.verbenamast.core.entry;

import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.manifest.RequestKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that a server rejects although it has room. */
class EntryRejectionTest extends EntryFixture {

    @Test
    void should_ask_the_owner_of_a_key_once_more_when_its_server_has_rejected_the_request() {
        // given
        assignAllKeysTo(join("one"));
        long id = open(RequestKind.UNSAFE, OptionalInt.of(7));

        // when
        controller.onRefused(id, 0, Refusal.SHED, 40, IDLE, now, effects::add);
        assertThat(nodesAsked()).containsExactly("one", "one");
        controller.onRefused(id, 0, Refusal.SHED, 40, IDLE, now, effects::add);

        // then
        assertThat(nodesAsked()).hasSize(2);
        assertThat(lastEffect()).isInstanceOfSatisfying(EntryEffect.Refuse.class, refuse -> {
            assertThat(refuse.reason()).isEqualTo(Refusal.SHED);
            assertThat(refuse.retryAfterMillis()).isBetween(50L, 100L);
        });
    }

    @Test
    void should_not_ask_the_owner_again_when_the_budget_is_spent() {
        // given
        assignAllKeysTo(join("one"));
        for (int i = 0; i < 2; i++) {
            long paid = open(RequestKind.SAFE, OptionalInt.of(7));
            controller.onRefused(paid, 0, Refusal.SHED, 40, IDLE, now, effects::add);
        }
        int asked = nodesAsked().size();

        // when
        long id = open(RequestKind.SAFE, OptionalInt.of(7));
        controller.onRefused(id, 0, Refusal.SHED, 40, IDLE, now, effects::add);

        // then
        assertThat(nodesAsked()).hasSize(asked + 1);
        assertThat(lastEffect()).isInstanceOf(EntryEffect.Refuse.class);
    }
}
