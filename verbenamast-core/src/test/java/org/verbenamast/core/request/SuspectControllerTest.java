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
    private final SuspectController controller = new SuspectController(
            new MemberId("visit-0", 1), new Directory(List.of(FaultyFleet.VISIT)), TransitionListener.NONE);

    @Test
    void should_stop_the_request_when_two_incidents_are_confirmed() {
        receive("one", CrashNoticeKind.ACCUSED, CrashNoticeKind.CONFIRMED);
        receive("two", CrashNoticeKind.ACCUSED);
        assertThat(status()).isEqualTo(SuspectStatus.HELD);
        receive("two", CrashNoticeKind.CONFIRMED);
        assertThat(status()).isEqualTo(SuspectStatus.STOPPED);
    }

    @Test
    void should_clear_the_request_when_the_second_incident_is_dismissed() {
        receive("one", CrashNoticeKind.ACCUSED, CrashNoticeKind.CONFIRMED);
        receive("two", CrashNoticeKind.ACCUSED, CrashNoticeKind.DISMISSED);
        assertThat(status()).isEqualTo(SuspectStatus.CLEAR);
    }

    @Test
    void should_ignore_an_incident_that_is_confirmed_after_a_later_successful_execution() {
        receive("one", CrashNoticeKind.ACCUSED);
        receive("", CrashNoticeKind.RAN_WELL);
        receive("one", CrashNoticeKind.CONFIRMED);
        receive("two", CrashNoticeKind.ACCUSED, CrashNoticeKind.CONFIRMED);
        receive("one", CrashNoticeKind.CONFIRMED);
        assertThat(status()).isEqualTo(SuspectStatus.CLEAR);
    }

    @Test
    void should_dismiss_its_own_incident_when_the_server_announces_the_same_start_twice() {
        controller.onCallStarted(READ);
        controller.onConnectionLost(READ, "start", 1, effects::add);
        controller.onAnnouncement("start", 2, effects::add);
        assertThat(controller.exclusiveSliceOf(READ, FaultyFleet.VISIT))
                .as("executed at one member")
                .isNotNull();
        controller.onAnnouncement("start", 3, effects::add);
        assertThat(controller.exclusiveSliceOf(READ, FaultyFleet.VISIT))
                .as("executed at any member")
                .isNull();
    }

    @Test
    void should_be_ready_when_a_member_has_sent_its_suspicions() {
        MemberId other = new MemberId("visit-1", 2);
        controller.advance(1, effects::add);
        assertThat(controller.isReady()).isFalse();
        controller.onMember(other, 2, effects::add);
        assertThat(effects).containsExactly(new Effect.SendToPeer(other, new PeerMessage.CrashQuery()));
        Suspicion known = new Suspicion(Fingerprint.of(READ), List.of(), List.of("one", "two"));
        controller.onAnswer(new PeerMessage.CrashHistory(List.of(known)), 3, effects::add);
        assertThat(controller.isReady()).isTrue();
        assertThat(status()).isEqualTo(SuspectStatus.STOPPED);
    }

    @Test
    void should_be_ready_when_no_member_answers_within_a_second() {
        controller.advance(1, effects::add);
        controller.advance(Timing.millisToNanos(999), effects::add);
        assertThat(controller.isReady()).isFalse();
        controller.advance(Timing.millisToNanos(1_001), effects::add);
        assertThat(controller.isReady()).isTrue();
    }

    private void receive(String incident, CrashNoticeKind... kinds) {
        for (CrashNoticeKind kind : kinds) {
            controller.onNotice(
                    new PeerMessage.CrashNotice(List.of(Fingerprint.of(READ)), incident, kind), 1, effects::add);
        }
    }

    private SuspectStatus status() {
        return controller.status(READ, FaultyFleet.VISIT, Fingerprint.of(READ).slice(FaultyFleet.VISIT));
    }
}
