package org.verbenamast.core.watch;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

class FollowDeskTest {

    /** Time after an impairment from which the platform counts a node as in touch, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final FollowInput NOTHING = new FollowInput(0, true);

    private final List<Effect> effects = new ArrayList<>();
    private final FollowDesk desk = new FollowDesk(TransitionListener.NONE);
    private long now = Timing.nanos(1_000);

    private FollowEffect.Await lastCall() {
        return effects.stream()
                .filter(FollowEffect.Await.class::isInstance)
                .map(FollowEffect.Await.class::cast)
                .filter(call -> call.table() == Followed.OPERATORS)
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private void loseCall() {
        now += Timing.nanos(Followed.OPERATORS.lostAfterMillis());
        desk.ended(Followed.OPERATORS, lastCall().ticket(), FollowEvent.FAILED, NOTHING, now, effects::add);
    }

    private void makeNextCall() {
        int before = effects.size();
        while (effects.size() == before) {
            now = Math.max(now + 1, desk.nextDue());
            desk.advance(now, effects::add);
        }
    }

    @Test
    void should_ask_again_before_it_counts_as_in_touch_when_the_call_was_lost_as_an_impairment_ended() {
        // given
        desk.start(now, effects::add);
        FollowEffect.ReadAll read = effects.stream()
                .filter(FollowEffect.ReadAll.class::isInstance)
                .map(FollowEffect.ReadAll.class::cast)
                .filter(call -> call.table() == Followed.OPERATORS)
                .findFirst()
                .orElseThrow();
        desk.ended(Followed.OPERATORS, read.ticket(), FollowEvent.READ, new FollowInput(7, false), now, effects::add);
        for (int lost = 0; lost < 10; lost++) {
            loseCall();
            makeNextCall();
        }

        // when
        long impairmentEnded = now;
        loseCall();
        makeNextCall();

        // then
        assertThat(now - impairmentEnded).isLessThan(Timing.nanos(CONTACT_MILLIS));
    }
}
