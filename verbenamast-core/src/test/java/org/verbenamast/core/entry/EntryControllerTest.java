package org.verbenamast.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.keys.KeyMap;
import org.verbenamast.core.keys.KeyRange;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.manifest.Route;
import org.verbenamast.core.manifest.Split;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowReplica;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoredRow;

import static org.assertj.core.api.Assertions.assertThat;

class EntryControllerTest {

    private static final String SERVICE = "stock";
    private static final AdmissionLoad IDLE = new AdmissionLoad(0, 0, 9, 50, false, false);

    private final Roster roster = new Roster();
    private final RowReplica replica = new RowReplica(row -> {});
    private final List<Effect> effects = new ArrayList<>();
    private final EntryController desk =
            new EntryController(new Zone("a"), roster, replica, () -> 0.5, TransitionListener.NONE);
    private long now = Timing.millisToNanos(1_000);
    private long lastId;

    private Member join(String node) {
        Member member = new Member(
                node,
                new Address("127.0.0.1", 1),
                new Zone("a"),
                SERVICE,
                new ServerIncarnation("server-of-" + node, 1),
                9,
                ServerState.READY);
        roster.put(member);
        return member;
    }

    private void own(Member member) {
        KeyMap map = KeyMap.vacant(SERVICE).move(KeyRange.ALL, member.incarnation());
        replica.apply(List.of(new StoredRow(new RowRef(RowTable.KEYS, SERVICE), 1, Optional.of(map))));
    }

    private long open(RequestKind kind, OptionalInt key) {
        Route route = new Route("r", "h", "/", kind, 1_000, 300, 1, 2, List.of(new Split(SERVICE, 1)));
        long id = ++lastId;
        EntryRequest request = new EntryRequest(
                id,
                "attempt-" + id,
                route,
                SERVICE,
                key,
                now,
                now + Timing.millisToNanos(300),
                now + Timing.millisToNanos(1_000));
        desk.open(request, now, effects::add);
        return id;
    }

    private List<String> nodesAsked() {
        return effects.stream()
                .filter(EntryEffect.OpenTry.class::isInstance)
                .map(effect -> ((EntryEffect.OpenTry) effect).target().node())
                .toList();
    }

    private Effect last() {
        return effects.get(effects.size() - 1);
    }

    @Test
    void should_ask_another_node_when_the_first_one_is_full() {
        // given
        join("one");
        join("two");
        long id = open(RequestKind.UNSAFE, OptionalInt.empty());

        // when
        desk.refused(id, Refusal.FULL, 100, IDLE, now, effects::add);

        // then
        assertThat(nodesAsked()).containsExactlyInAnyOrder("one", "two");
    }

    @Test
    void should_not_send_again_when_an_order_may_have_run() {
        // given
        join("one");
        join("two");
        long id = open(RequestKind.UNSAFE, OptionalInt.empty());

        // when
        desk.broken(id, true, true, now, effects::add);

        // then
        assertThat(nodesAsked()).hasSize(1);
        assertThat(last()).isEqualTo(new EntryEffect.Fail(id, false));
    }

    @Test
    void should_send_once_more_when_a_lookup_broke() {
        // given
        join("one");
        join("two");
        long id = open(RequestKind.SAFE, OptionalInt.empty());

        // when
        desk.broken(id, true, true, now, effects::add);
        desk.broken(id, true, true, now, effects::add);

        // then
        assertThat(nodesAsked()).containsExactlyInAnyOrder("one", "two");
        assertThat(last()).isEqualTo(new EntryEffect.Fail(id, false));
    }

    @Test
    void should_wait_for_the_key_when_its_owner_has_just_given_it_away() {
        // given
        own(join("one"));
        long id = open(RequestKind.SAFE, OptionalInt.of(7));
        desk.refused(id, Refusal.NOT_OWNER, 0, IDLE, now, effects::add);
        assertThat(nodesAsked()).containsExactly("one");

        // when
        now += Timing.millisToNanos(60);
        desk.advance(now, effects::add);

        // then
        assertThat(nodesAsked()).containsExactly("one", "one");
    }

    @Test
    void should_take_the_owner_for_lost_when_another_host_answers_at_its_address() {
        // given
        Member gone = join("one");
        own(gone);

        // when
        for (int i = 0; i < 2; i++) {
            long id = open(RequestKind.SAFE, OptionalInt.of(7));
            desk.refused(id, Refusal.WRONG_SERVER, 0, IDLE, now, effects::add);
        }

        // then
        assertThat(desk.reachable(gone)).isFalse();
        long id = open(RequestKind.SAFE, OptionalInt.of(7));
        assertThat(last()).isInstanceOfSatisfying(EntryEffect.Refuse.class, refuse -> assertThat(refuse.id())
                .isEqualTo(id));
    }

    @Test
    void should_tell_the_caller_at_once_when_its_time_is_over() {
        // given
        join("one");
        long id = open(RequestKind.UNSAFE, OptionalInt.empty());

        // when
        now += Timing.millisToNanos(1_001);
        desk.advance(now, effects::add);

        // then
        assertThat(effects).contains(new EntryEffect.Withdraw(id));
        assertThat(last()).isEqualTo(new EntryEffect.Fail(id, true));
    }

    @Test
    void should_promise_nothing_when_a_lookup_broke_and_no_other_server_takes_it() {
        // given
        join("one");
        join("two");
        long id = open(RequestKind.SAFE, OptionalInt.empty());
        desk.broken(id, true, true, now, effects::add);

        // when
        desk.refused(id, Refusal.FULL, 100, IDLE, now, effects::add);

        // then
        assertThat(nodesAsked()).hasSize(2);
        assertThat(last()).isEqualTo(new EntryEffect.Fail(id, false));
    }

    @Test
    void should_promise_nothing_when_a_lookup_broke_and_its_key_has_no_server_any_more() {
        // given
        Member owner = join("one");
        own(owner);
        long id = open(RequestKind.SAFE, OptionalInt.of(7));
        roster.remove(owner.node());

        // when
        desk.broken(id, true, true, now, effects::add);
        now += Timing.millisToNanos(1_001);
        desk.advance(now, effects::add);

        // then
        assertThat(last()).isInstanceOfSatisfying(EntryEffect.Fail.class, fail -> assertThat(fail.id())
                .isEqualTo(id));
    }

    @Test
    void should_ask_a_node_again_when_it_was_stopping_a_while_ago() {
        // given
        AdmissionLoad stopping = new AdmissionLoad(0, 0, 9, 50, false, true);
        join("one");
        long id = open(RequestKind.UNSAFE, OptionalInt.empty());
        desk.refused(id, Refusal.STOPPING, 100, stopping, now, effects::add);
        open(RequestKind.UNSAFE, OptionalInt.empty());
        assertThat(nodesAsked()).hasSize(1);

        // when
        now += Timing.millisToNanos(1_001);
        open(RequestKind.UNSAFE, OptionalInt.empty());

        // then
        assertThat(nodesAsked()).containsExactly("one", "one");
    }

    @Test
    void should_ask_a_node_again_when_what_it_was_sent_broke_with_it_a_while_ago() {
        // given
        Member broken = join("one");
        for (int i = 0; i < 30; i++) {
            long id = open(RequestKind.UNSAFE, OptionalInt.empty());
            desk.broken(id, false, true, now, effects::add);
        }
        join("two");
        effects.clear();
        open(RequestKind.UNSAFE, OptionalInt.empty());
        assertThat(nodesAsked()).containsExactly("two");

        // when
        now += Timing.millisToNanos(2_001);
        for (int i = 0; i < 12; i++) {
            open(RequestKind.UNSAFE, OptionalInt.empty());
        }

        // then
        assertThat(nodesAsked()).contains(broken.node());
    }
}
