package org.verbenamast.core.relay;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.keys.KeyLeaseTimings;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.manifest.RequestLimits;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

class RelayCoreTest {

    private static final Zone ZONE = new Zone("a");
    private static final Effects NONE = effect -> {};

    private final RelayCore core = new RelayCore(
            new RelaySettings(
                    "node",
                    7,
                    ZONE,
                    "stock",
                    new Address("127.0.0.1", 1),
                    KeyLeaseTimings.DEFAULT,
                    2_000,
                    0,
                    () -> 0.5),
            TransitionListener.NONE);
    private final long now = Timing.nanos(1_000);

    private static Manifest manifest(long version) {
        return new Manifest(version, List.of(), List.of(), RequestLimits.DEFAULT);
    }

    @Test
    void should_keep_the_newer_manifest_when_an_older_one_comes_late() {
        // given
        core.manifest(manifest(7), now, NONE);

        // when
        boolean taken = core.manifest(manifest(6), now, NONE);

        // then
        assertThat(taken).isFalse();
        assertThat(core.manifest().version()).isEqualTo(7);
    }

    @Test
    void should_be_ready_when_manifest_and_members_are_known() {
        assertThat(core.ready()).isFalse();
        core.manifest(manifest(7), now, NONE);
        assertThat(core.ready()).isFalse();
        core.allRows(List.of(), 3, now, NONE);
        assertThat(core.ready()).isTrue();
    }

    @Test
    void should_serve_keys_a_little_longer_when_the_zone_is_taken_out() {
        // given
        core.allRows(List.of(), 3, now, NONE);
        core.zonesOut(Set.of(), now, NONE);

        // when
        core.zonesOut(Set.of(ZONE), now, NONE);

        // then
        assertThat(core.isEvacuated(false, now)).isTrue();
        assertThat(core.isEvacuated(true, now)).isFalse();
        assertThat(core.isEvacuated(true, now + Timing.nanos(2_500))).isTrue();
    }

    @Test
    void should_serve_nothing_when_the_zone_was_out_before_the_node_started() {
        // when
        core.zonesOut(Set.of(ZONE), now, NONE);

        // then
        assertThat(core.isEvacuated(true, now)).isTrue();
    }

    @Test
    void should_serve_nothing_when_the_zone_was_out_before_the_start_and_the_members_were_read_first() {
        // given
        core.allRows(List.of(), 3, now, NONE);

        // when
        core.zonesOut(Set.of(ZONE), now, NONE);

        // then
        assertThat(core.isEvacuated(true, now)).isTrue();
    }

    @Test
    void should_serve_nothing_when_it_is_not_known_yet_which_zones_are_out() {
        assertThat(core.isEvacuated(false, now)).isTrue();
        core.zonesOut(Set.of(), now, NONE);
        assertThat(core.isEvacuated(false, now)).isFalse();
    }

    @Test
    void should_serve_again_when_the_zone_is_taken_back() {
        // given
        core.zonesOut(Set.of(ZONE), now, NONE);

        // when
        core.zonesOut(Set.of(), now, NONE);

        // then
        assertThat(core.isEvacuated(false, now)).isFalse();
    }
}
