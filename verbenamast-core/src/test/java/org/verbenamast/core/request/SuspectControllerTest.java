package org.verbenamast.core.request;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.gate.crash.CrashNoticeKind;
import org.verbenamast.core.gate.crash.Fingerprint;
import org.verbenamast.core.gate.crash.SuspectController;
import org.verbenamast.core.gate.crash.SuspectStatus;
import org.verbenamast.core.gate.crash.Suspicion;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

class SuspectControllerTest {

    private static final CallerRequest READ =
            new CallerRequest(FaultyFleet.VISIT.name(), "", Method.GET, "/visits", List.of(), Body.EMPTY, "", "");

    private final List<Effect> effects = new ArrayList<>();
    private final SuspectController desk = new SuspectController(
            new MemberId("visit-0", 1), new Directory(List.of(FaultyFleet.VISIT)), TransitionListener.NONE);

    @Test
    void should_be_stopped_when_two_incidents_are_confirmed() {
        hear("one", CrashNoticeKind.ACCUSED, CrashNoticeKind.CONFIRMED);
        hear("two", CrashNoticeKind.ACCUSED);
        assertThat(standing()).isEqualTo(SuspectStatus.HELD);
        hear("two", CrashNoticeKind.CONFIRMED);
        assertThat(standing()).isEqualTo(SuspectStatus.STOPPED);
    }

    @Test
    void should_run_again_when_the_second_incident_is_dismissed() {
        hear("one", CrashNoticeKind.ACCUSED, CrashNoticeKind.CONFIRMED);
        hear("two", CrashNoticeKind.ACCUSED, CrashNoticeKind.DISMISSED);
        assertThat(standing()).isEqualTo(SuspectStatus.CLEAR);
    }

    @Test
    void should_not_count_an_incident_before_a_good_run_when_it_is_confirmed_late() {
        hear("one", CrashNoticeKind.ACCUSED);
        hear("", CrashNoticeKind.RAN_WELL);
        hear("one", CrashNoticeKind.CONFIRMED);
        hear("two", CrashNoticeKind.ACCUSED, CrashNoticeKind.CONFIRMED);
        hear("one", CrashNoticeKind.CONFIRMED);
        assertThat(standing()).isEqualTo(SuspectStatus.CLEAR);
    }

    @Test
    void should_dismiss_its_own_incident_when_the_server_announces_the_same_start_twice() {
        desk.started(READ);
        desk.lost(READ, "start", 1, effects::add);
        desk.announced("start", 2, effects::add);
        assertThat(desk.sliceOf(READ, FaultyFleet.VISIT))
                .as("runs at one member")
                .isNotNull();
        desk.announced("start", 3, effects::add);
        assertThat(desk.sliceOf(READ, FaultyFleet.VISIT)).as("runs anywhere").isNull();
    }

    @Test
    void should_be_ready_when_a_member_has_told_what_it_suspects() {
        MemberId other = new MemberId("visit-1", 2);
        desk.advance(1, effects::add);
        assertThat(desk.ready()).isFalse();
        desk.learnt(other, 2, effects::add);
        assertThat(effects).containsExactly(new Effect.SendToPeer(other, new PeerMessage.CrashQuery()));
        Suspicion known = new Suspicion(Fingerprint.of(READ), List.of(), List.of("one", "two"));
        desk.answered(new PeerMessage.CrashHistory(List.of(known)), 3, effects::add);
        assertThat(desk.ready()).isTrue();
        assertThat(standing()).isEqualTo(SuspectStatus.STOPPED);
    }

    @Test
    void should_be_ready_when_nobody_answers_within_a_second() {
        desk.advance(1, effects::add);
        desk.advance(Timing.millisToNanos(999), effects::add);
        assertThat(desk.ready()).isFalse();
        desk.advance(Timing.millisToNanos(1_001), effects::add);
        assertThat(desk.ready()).isTrue();
    }

    private void hear(String incident, CrashNoticeKind... news) {
        for (CrashNoticeKind one : news) {
            desk.heard(new PeerMessage.CrashNotice(List.of(Fingerprint.of(READ)), incident, one), 1, effects::add);
        }
    }

    private SuspectStatus standing() {
        return desk.standing(READ, FaultyFleet.VISIT, Fingerprint.of(READ).slice(FaultyFleet.VISIT));
    }
}
