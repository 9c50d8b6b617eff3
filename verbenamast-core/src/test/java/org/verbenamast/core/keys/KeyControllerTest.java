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

import static org.assertj.core.api.Assertions.assertThat;

class KeyControllerTest {

    private static final String SERVICE = "stock";

    private final Roster roster = new Roster();
    private final List<Effect> effects = new ArrayList<>();
    private final KeyController desk = new KeyController(
            new KeyControllerSettings("node-a", 7, SERVICE, KeyLeaseTimings.DEFAULT, 0),
            roster,
            new RowReplica(row -> {}),
            member -> true,
            TransitionListener.NONE);

    private static Member member(String node) {
        ServerIncarnation life = new ServerIncarnation("server-of-" + node, 1);
        return new Member(node, new Address("127.0.0.1", 1), new Zone("z"), SERVICE, life, 9, ServerState.READY);
    }

    private List<KeyMap> writtenMaps() {
        List<KeyMap> maps = new ArrayList<>();
        for (Effect effect : effects) {
            if (effect instanceof StoreEffect.Commit commit && commit.purpose() == StorePurpose.KEY_MAP) {
                maps.add((KeyMap) commit.changes().get(0).content().orElseThrow());
            }
        }
        return maps;
    }

    private void runUntil(long fromMillis, long toMillis) {
        for (long millis = fromMillis; millis <= toMillis; millis += 50) {
            desk.advance(Timing.millisToNanos(millis), effects::add);
        }
    }

    @Test
    void should_deal_keys_to_all_when_members_join_one_after_another() {
        // given
        roster.put(member("node-a"));
        ServerIncarnation life = member("node-a").life();
        Heartbeat beat = new Heartbeat(life, SERVICE, "127.0.0.1:1", 9, ServerState.READY, 0, 1, List.of(), List.of());
        desk.heartbeat(beat, Timing.millisToNanos(10_000), effects::add);
        runUntil(10_000, 11_000);
        assertThat(writtenMaps()).isEmpty();

        // when
        roster.put(member("node-b"));
        runUntil(11_050, 12_400);
        assertThat(writtenMaps()).isEmpty();
        runUntil(12_450, 13_000);

        // then
        assertThat(writtenMaps()).hasSize(1);
        KeyMap map = writtenMaps().get(0);
        assertThat(map.isOwner(member("node-a").life())).isTrue();
        assertThat(map.isOwner(member("node-b").life())).isTrue();
    }

    private static Heartbeat beat(long sequence) {
        return new Heartbeat(
                member("node-a").life(),
                SERVICE,
                "127.0.0.1:1",
                9,
                ServerState.READY,
                0,
                sequence,
                List.of(),
                List.of());
    }

    /** Answers the calls that the lease needs until the desk makes none any more. */
    private void answerLeaseCalls(long now) {
        for (int i = 0; i < effects.size(); i++) {
            if (effects.get(i) instanceof StoreEffect.Commit commit && commit.purpose() == StorePurpose.TENURE) {
                desk.stored(commit.purpose(), commit.ticket(), new StoreResult.Committed(5), now, effects::add);
            } else if (effects.get(i) instanceof StoreEffect.Read read && read.purpose() == StorePurpose.TENURE) {
                List<StoredRow> rows = read.refs().stream()
                        .map(ref -> new StoredRow(ref, 0, Optional.empty()))
                        .toList();
                desk.stored(read.purpose(), read.ticket(), new StoreResult.Read(rows), now, effects::add);
            }
        }
    }

    @Test
    void should_grant_no_longer_than_the_bound_when_it_is_below_the_usual_hold() {
        // given
        long now = Timing.millisToNanos(20_000);
        desk.heartbeat(beat(1), now, effects::add);
        answerLeaseCalls(now);
        assertThat(desk.heartbeat(beat(2), now, effects::add)).get().satisfies(grant -> assertThat(grant.holdMillis())
                .isEqualTo(KeyLeaseTimings.DEFAULT.holdMillis()));

        // when
        desk.holdAtMost(1_200);

        // then
        assertThat(desk.heartbeat(beat(3), now, effects::add)).get().satisfies(grant -> assertThat(grant.holdMillis())
                .isEqualTo(1_200));
    }
}
