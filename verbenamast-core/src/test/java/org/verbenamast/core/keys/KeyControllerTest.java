package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;
import org.verbenamast.core.rows.RowReplica;
import org.verbenamast.core.rows.StoreEffect;
import org.verbenamast.core.rows.StorePurpose;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.EraController;

import static org.assertj.core.api.Assertions.assertThat;

class KeyControllerTest {

    private static final String SERVICE = "stock";
    private static final KeyReport NO_KEYS = new KeyReport(List.of(), List.of());

    private final Roster roster = new Roster();
    private final List<Effect> effects = new ArrayList<>();
    private final KeyController controller = new KeyController(
            new KeyControllerSettings("node-a", 7, SERVICE, KeyLeaseTimings.DEFAULT, 0),
            roster,
            new RowReplica(row -> {}),
            member -> true,
            now -> now,
            new EraController(TransitionListener.NONE),
            TransitionListener.NONE);

    private static Member member(String node) {
        ServerIncarnation incarnation = new ServerIncarnation("server-of-" + node, 1);
        return new Member(node, new Address("127.0.0.1", 1), new Zone("z"), SERVICE, incarnation, 9, ServerState.READY);
    }

    private List<KeyMap> committedMaps() {
        List<KeyMap> maps = new ArrayList<>();
        for (Effect effect : effects) {
            if (effect instanceof StoreEffect.Commit commit && commit.purpose() == StorePurpose.KEY_MAP) {
                maps.add((KeyMap) commit.changes().get(0).content().orElseThrow());
            }
        }
        return maps;
    }

    private void advanceUntil(long fromMillis, long toMillis) {
        for (long millis = fromMillis; millis <= toMillis; millis += 50) {
            controller.advance(Timing.millisToNanos(millis), effects::add);
        }
    }

    @Test
    void should_assign_keys_to_all_members_when_they_join_one_after_another() {
        // given
        roster.put(member("node-a"));
        ServerIncarnation incarnation = member("node-a").incarnation();
        Heartbeat heartbeat =
                new Heartbeat(incarnation, SERVICE, "127.0.0.1:1", 9, ServerState.READY, 0, 1, Optional.of(NO_KEYS));
        controller.onHeartbeat(heartbeat, Timing.millisToNanos(10_000), effects::add);
        advanceUntil(10_000, 11_000);
        assertThat(committedMaps()).isEmpty();

        // when
        roster.put(member("node-b"));
        advanceUntil(11_050, 12_400);
        assertThat(committedMaps()).isEmpty();
        advanceUntil(12_450, 13_000);

        // then
        assertThat(committedMaps()).hasSize(1);
        KeyMap map = committedMaps().get(0);
        assertThat(map.isOwner(member("node-a").incarnation())).isTrue();
        assertThat(map.isOwner(member("node-b").incarnation())).isTrue();
    }

    private static Heartbeat heartbeat(long sequence) {
        return new Heartbeat(
                member("node-a").incarnation(),
                SERVICE,
                "127.0.0.1:1",
                9,
                ServerState.READY,
                0,
                sequence,
                Optional.of(NO_KEYS));
    }

    /** Completes the store calls of the key lease until the controller makes no further ones. */
    private void completeLeaseCalls(long now) {
        for (int i = 0; i < effects.size(); i++) {
            if (effects.get(i) instanceof StoreEffect.Commit commit && commit.purpose() == StorePurpose.TENURE) {
                controller.onStoreResult(
                        commit.purpose(), commit.callId(), new StoreResult.Committed(5), now, effects::add);
            } else if (effects.get(i) instanceof StoreEffect.Read read && read.purpose() == StorePurpose.TENURE) {
                List<StoredRow> rows = read.refs().stream()
                        .map(ref -> new StoredRow(ref, 0, Optional.empty()))
                        .toList();
                controller.onStoreResult(read.purpose(), read.callId(), new StoreResult.Read(rows), now, effects::add);
            }
        }
    }

    @Test
    void should_limit_grant_duration_when_the_limit_is_below_the_default() {
        // given
        long now = Timing.millisToNanos(20_000);
        controller.onHeartbeat(heartbeat(1), now, effects::add);
        completeLeaseCalls(now);
        assertThat(controller.onHeartbeat(heartbeat(2), now, effects::add))
                .get()
                .satisfies(
                        grant -> assertThat(grant.durationMillis()).isEqualTo(KeyLeaseTimings.DEFAULT.grantMillis()));

        // when
        controller.limitGrantDuration(1_200);

        // then
        assertThat(controller.onHeartbeat(heartbeat(3), now, effects::add))
                .get()
                .satisfies(grant -> assertThat(grant.durationMillis()).isEqualTo(1_200));
    }
}
