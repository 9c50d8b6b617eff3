package org.verbenamast.core.keys;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;

import static org.assertj.core.api.Assertions.assertThat;

class KeyHostsTest {

    private final Roster roster = new Roster();
    private boolean firstReachable = true;
    private final KeyHosts hosts = new KeyHosts(
            "node-b",
            "stock",
            roster,
            member -> firstReachable || !member.node().equals("node-a"));

    private static Member member(String node) {
        ServerIncarnation life = new ServerIncarnation("server-of-" + node, 1);
        return new Member(node, new Address("127.0.0.1", 1), new Zone("z"), "stock", life, 9, ServerState.READY);
    }

    private boolean plansHere(long millis) {
        return hosts.plansHere(Timing.millisToNanos(millis));
    }

    @Test
    void should_plan_on_when_the_first_member_is_silent_and_probed_now_and_then() {
        // given
        roster.put(member("node-a"));
        roster.put(member("node-b"));
        assertThat(plansHere(1_000)).isFalse();

        // when
        firstReachable = false;
        for (long millis = 1_250; millis <= 3_000; millis += 250) {
            assertThat(plansHere(millis)).isTrue();
        }
        firstReachable = true;

        // then
        assertThat(plansHere(3_250)).isTrue();
        assertThat(hosts.isLost(member("node-a").life(), Timing.millisToNanos(3_250)))
                .isTrue();
    }

    @Test
    void should_leave_planning_to_the_first_member_when_it_has_been_back_for_a_while() {
        // given
        roster.put(member("node-a"));
        roster.put(member("node-b"));
        firstReachable = false;
        plansHere(1_000);
        plansHere(3_000);

        // when
        firstReachable = true;
        plansHere(3_250);

        // then
        assertThat(plansHere(5_000)).isFalse();
    }
}
