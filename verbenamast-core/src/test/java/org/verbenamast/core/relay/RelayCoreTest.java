package org.verbenamast.core.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.backend.NoticeEffect;
import org.verbenamast.core.backend.NoticeRejection;
import org.verbenamast.core.backend.ServerNotice;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.keys.KeyLeaseTimings;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.manifest.RequestLimits;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;

import static org.assertj.core.api.Assertions.assertThat;

class RelayCoreTest {

    private static final Zone ZONE = new Zone("a");
    private static final Effects NO_EFFECTS = effect -> {};

    private final RelayCore core = new RelayCore(
            new RelaySettings(
                    "node",
                    7,
                    ZONE,
                    "stock",
                    new Address("127.0.0.1", 2),
                    new Address("127.0.0.1", 1),
                    KeyLeaseTimings.DEFAULT,
                    2_000,
                    RelayLimits.DEFAULT,
                    0,
                    () -> 0.5),
            TransitionListener.NONE);
    private final long now = Timing.millisToNanos(1_000);

    private static Manifest manifest(long version) {
        return new Manifest(version, List.of(), List.of(), RequestLimits.DEFAULT, List.of());
    }

    @Test
    void should_keep_the_newer_manifest_when_an_older_one_arrives_late() {
        // given
        core.manifest(manifest(7), now, NO_EFFECTS);

        // when
        boolean accepted = core.manifest(manifest(6), now, NO_EFFECTS);

        // then
        assertThat(accepted).isFalse();
        assertThat(core.manifest().version()).isEqualTo(7);
    }

    @Test
    void should_be_ready_when_manifest_and_members_are_known() {
        assertThat(core.isReady()).isFalse();
        core.manifest(manifest(7), now, NO_EFFECTS);
        assertThat(core.isReady()).isFalse();
        core.onSnapshot(List.of(), 3, now, NO_EFFECTS);
        assertThat(core.isReady()).isTrue();
    }

    /** Guards against a server that lost its keys to an entry of another writer. */
    @Test
    void should_ignore_a_heartbeat_when_it_is_not_of_the_server_beside_this_node() {
        // given
        List<Effect> effects = new ArrayList<>();
        core.onSnapshot(List.of(), 3, now, NO_EFFECTS);

        // when
        core.onNotice(1, heartbeat("stock", "127.0.0.1:3"), now, effects::add);
        core.onNotice(2, heartbeat("other", "127.0.0.1:2"), now, effects::add);

        // then
        assertThat(effects)
                .containsExactly(
                        new NoticeEffect.Reject(1, NoticeRejection.OTHER_SERVER),
                        new NoticeEffect.Reject(2, NoticeRejection.OTHER_SERVER));
        core.onNotice(3, heartbeat("stock", "127.0.0.1:2"), now, effects::add);
        assertThat(effects).contains(new NoticeEffect.Confirm(3, Optional.empty()));
    }

    private static ServerNotice heartbeat(String service, String address) {
        ServerIncarnation incarnation = new ServerIncarnation("i-1", 5);
        return ServerNotice.of(
                new Heartbeat(incarnation, service, address, 9, ServerState.READY, 0, 1, Optional.empty()));
    }

    @Test
    void should_serve_keys_for_a_grace_period_when_the_zone_is_evacuated() {
        // given
        core.onSnapshot(List.of(), 3, now, NO_EFFECTS);
        core.onEvacuatedZones(Set.of(), now, NO_EFFECTS);

        // when
        core.onEvacuatedZones(Set.of(ZONE), now, NO_EFFECTS);

        // then
        assertThat(core.isEvacuated(false, now)).isTrue();
        assertThat(core.isEvacuated(true, now)).isFalse();
        assertThat(core.isEvacuated(true, now + Timing.millisToNanos(2_500))).isTrue();
    }

    @Test
    void should_serve_nothing_when_the_zone_was_evacuated_before_the_node_started() {
        // when
        core.onEvacuatedZones(Set.of(ZONE), now, NO_EFFECTS);

        // then
        assertThat(core.isEvacuated(true, now)).isTrue();
    }

    @Test
    void should_serve_nothing_when_the_zone_was_evacuated_before_the_start_and_the_members_were_read_first() {
        // given
        core.onSnapshot(List.of(), 3, now, NO_EFFECTS);

        // when
        core.onEvacuatedZones(Set.of(ZONE), now, NO_EFFECTS);

        // then
        assertThat(core.isEvacuated(true, now)).isTrue();
    }

    @Test
    void should_serve_nothing_when_the_evacuated_zones_are_not_known_yet() {
        assertThat(core.isEvacuated(false, now)).isTrue();
        core.onEvacuatedZones(Set.of(), now, NO_EFFECTS);
        assertThat(core.isEvacuated(false, now)).isFalse();
    }

    @Test
    void should_serve_again_when_the_zone_is_back_in_service() {
        // given
        core.onEvacuatedZones(Set.of(ZONE), now, NO_EFFECTS);

        // when
        core.onEvacuatedZones(Set.of(), now, NO_EFFECTS);

        // then
        assertThat(core.isEvacuated(false, now)).isFalse();
    }
}
