package org.verbenamast.core.keys;

import java.util.Set;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;

import static org.assertj.core.api.Assertions.assertThat;

/** The planner of these tests, node-a, does nothing, as one does that the store refuses. */
class KeyPlannerTest {

    private static final String SERVICE = "stock";
    private static final Zone ZONE_OF_C = new Zone("c");

    private final Roster roster = new Roster();
    private long membersAsOf = Long.MAX_VALUE;

    private KeyPlanner plannerOf(String node) {
        return new KeyPlanner(
                new KeyHosts(node, SERVICE, roster, member -> true),
                new KeyDemand(SERVICE),
                now -> Math.min(now, membersAsOf));
    }

    private Member join(String node, Zone zone) {
        Member member = new Member(
                node,
                new Address("127.0.0.1", 1),
                zone,
                SERVICE,
                new ServerIncarnation("server-of-" + node, 1),
                9,
                ServerState.READY);
        roster.put(member);
        return member;
    }

    private static long millis(long millis) {
        return Timing.millisToNanos(100_000 + millis);
    }

    @Test
    void should_undo_a_move_to_an_evacuated_zone_when_the_planner_does_not() {
        // given
        Member a = join("node-a", new Zone("a"));
        join("node-b", new Zone("b"));
        Member c = join("node-c", ZONE_OF_C);
        KeyMap moving =
                KeyMap.vacant(SERVICE).move(KeyRange.ALL, a.incarnation()).move(new KeyRange(0, 999), c.incarnation());
        KeyPlanner second = plannerOf("node-b");
        assertThat(second.plan(moving, millis(0))).isSameAs(moving);

        // when
        roster.setEvacuatedZones(Set.of(ZONE_OF_C));

        // then
        assertThat(second.plan(moving, millis(0))).isSameAs(moving);
        assertThat(second.plan(moving, millis(699))).isSameAs(moving);
        assertThat(second.plan(moving, millis(700)).find(0).next()).isEmpty();
    }

    @Test
    void should_replace_an_owner_in_an_evacuated_zone_when_both_nodes_before_do_not() {
        // given
        join("node-a", new Zone("a"));
        join("node-b", new Zone("b"));
        Member c = join("node-c", ZONE_OF_C);
        join("node-d", new Zone("b"));
        KeyMap owned = KeyMap.vacant(SERVICE).move(KeyRange.ALL, c.incarnation());
        roster.setEvacuatedZones(Set.of(ZONE_OF_C));
        KeyPlanner third = plannerOf("node-d");

        // then
        assertThat(third.plan(owned, millis(0))).isSameAs(owned);
        assertThat(third.plan(owned, millis(1_399))).isSameAs(owned);
        assertThat(third.plan(owned, millis(1_400)).assignments())
                .allSatisfy(assignment -> assertThat(assignment.next()).isPresent());
    }

    @Test
    void should_start_to_wait_again_when_the_planner_has_acted_meanwhile() {
        // given
        Member a = join("node-a", new Zone("a"));
        join("node-b", new Zone("b"));
        Member c = join("node-c", ZONE_OF_C);
        KeyMap unfit = KeyMap.vacant(SERVICE).move(KeyRange.ALL, c.incarnation());
        KeyMap fit = KeyMap.vacant(SERVICE).move(KeyRange.ALL, a.incarnation());
        roster.setEvacuatedZones(Set.of(ZONE_OF_C));
        KeyPlanner second = plannerOf("node-b");
        second.plan(unfit, millis(0));

        // when
        second.plan(fit, millis(600));

        // then
        assertThat(second.plan(unfit, millis(800))).isSameAs(unfit);
        assertThat(second.plan(unfit, millis(1_500))).isNotSameAs(unfit);
    }

    @Test
    void should_leave_the_keys_alone_when_only_this_node_finds_an_owner_lost() {
        // given
        join("node-a", new Zone("a"));
        join("node-b", new Zone("b"));
        Member c = join("node-c", ZONE_OF_C);
        KeyMap owned = KeyMap.vacant(SERVICE).move(KeyRange.ALL, c.incarnation());
        KeyPlanner second = new KeyPlanner(
                new KeyHosts("node-b", SERVICE, roster, member -> !member.equals(c)),
                new KeyDemand(SERVICE),
                now -> now);

        // then
        for (long at = 0; at < 10_000; at += 250) {
            assertThat(second.plan(owned, millis(at))).isSameAs(owned);
        }
    }

    @Test
    void should_never_plan_when_its_own_server_may_not_receive_requests() {
        // given
        join("node-a", ZONE_OF_C);
        Member b = join("node-b", new Zone("b"));
        KeyMap owned = KeyMap.vacant(SERVICE).move(KeyRange.ALL, b.incarnation());
        roster.remove("node-b");
        roster.setEvacuatedZones(Set.of(ZONE_OF_C));

        // then
        assertThat(plannerOf("node-a").plan(owned, millis(9_000))).isSameAs(owned);
    }

    /** Guards against hosts that start together and give the keys to one another in turn, each knowing itself alone. */
    @Test
    void should_assign_no_keys_when_the_other_members_are_not_known_yet() {
        // given
        KeyMap vacant = KeyMap.vacant(SERVICE);
        KeyPlanner planner = plannerOf("node-b");
        join("node-b", new Zone("b"));
        membersAsOf = millis(100);

        // when
        for (long at = 0; at <= 6_000; at += 50) {
            assertThat(planner.plan(vacant, millis(at))).isSameAs(vacant);
        }
        join("node-a", new Zone("a"));
        join("node-c", ZONE_OF_C);
        membersAsOf = millis(6_000);

        // then
        KeyPlanner first = plannerOf("node-a");
        assertThat(first.plan(vacant, millis(6_050))).isSameAs(vacant);
        membersAsOf = millis(7_600);
        assertThat(first.plan(vacant, millis(7_500))).isSameAs(vacant);
        KeyMap assigned = first.plan(vacant, millis(7_600));
        assertThat(assigned.owners()).hasSize(3);
    }
}
