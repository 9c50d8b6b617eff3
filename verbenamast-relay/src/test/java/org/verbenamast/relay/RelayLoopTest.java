package org.verbenamast.relay;

import java.util.ArrayList;
import java.util.List;

import io.activej.eventloop.Eventloop;
import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.entry.EntryEffect;
import org.verbenamast.core.keys.KeyLeaseTimings;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.core.relay.RelayLimits;
import org.verbenamast.core.relay.RelaySettings;
import org.verbenamast.relay.telemetry.RequestCounts;

import static org.assertj.core.api.Assertions.assertThat;

class RelayLoopTest {

    private static final Effect ODD = new EntryEffect.Deliver(1);
    private static final Effect NEXT = new EntryEffect.Deliver(2);

    private final Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
    private final RelayCore core = new RelayCore(
            new RelaySettings(
                    "node",
                    7,
                    new Zone("a"),
                    "stock",
                    new Address("127.0.0.1", 2),
                    new Address("127.0.0.1", 1),
                    KeyLeaseTimings.DEFAULT,
                    2_000,
                    RelayLimits.DEFAULT,
                    0,
                    () -> 0.5),
            TransitionListener.NONE);
    private final List<Effect> executed = new ArrayList<>();
    private final RequestCounts counts = new RequestCounts();
    private final RelayLoop loop = new RelayLoop(eventloop, core, counts, this::execute);

    private void execute(Effect effect) {
        if (effect.equals(ODD)) {
            throw new IllegalStateException("an odd effect");
        }
        executed.add(effect);
    }

    private static void recurse() {
        recurse();
    }

    @Test
    void should_run_the_next_decision_when_one_has_failed() {
        // when
        loop.run((now, effects) -> {
            throw new IllegalStateException("an odd decision");
        });
        loop.run((now, effects) -> recurse());
        loop.run((now, effects) -> effects.emit(NEXT));

        // then
        assertThat(executed).containsExactly(NEXT);
        assertThat(counts.errors()).isEqualTo(2);
    }

    @Test
    void should_execute_the_other_effects_when_one_fails() {
        // when
        loop.run((now, effects) -> {
            effects.emit(ODD);
            effects.emit(NEXT);
        });

        // then
        assertThat(executed).containsExactly(NEXT);
        assertThat(counts.errors()).isEqualTo(1);
    }
}
