package org.verbenamast.core.request;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.gate.crash.SuspectController;
import org.verbenamast.core.hedge.HedgeRule;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberStatus;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.Row;

import static org.assertj.core.api.Assertions.assertThat;

class RequestControllerTest {

    private static final MemberId SELF = new MemberId("entry", 1);
    private static final Zone ZONE = new Zone("jkt");
    private static final Address ADDRESS = new Address("127.0.0.1", 1);
    private static final long DEADLINE = Timing.millisToNanos(400);

    private final List<Effect> effects = new ArrayList<>();
    private RequestController controller;

    @BeforeEach
    void createController() {
        CoreSettings settings = new CoreSettings(
                SELF,
                FaultyFleet.VISIT.name(),
                ZONE,
                ADDRESS,
                List.of(FaultyFleet.VISIT),
                List.of(),
                Timing.DEFAULT,
                0,
                1);
        Directory directory = new Directory(settings.services());
        directory.apply(member("visit-0"));
        directory.apply(member("visit-1"));
        SuspectController suspects = new SuspectController(SELF, directory, TransitionListener.NONE);
        RoutePolicy policy = new RoutePolicy(MemberSelector.SOONER_ANSWER, HedgeRule.WHEN_SLOW);
        controller = new RequestController(
                settings,
                new DirectoryRouter(settings, directory, suspects, policy, TransitionListener.NONE),
                TransitionListener.NONE);
    }

    @Test
    void should_reply_unknown_when_a_lost_attempt_is_followed_by_a_refusal() {
        arrive(1, Method.GET);
        Effect.SendToPeer first = forward();
        controller.onLinkLost(first.to(), 1, effects::add);
        controller.advance(Timing.millisToNanos(20), effects::add);
        refuse(forward(), NotRunReason.DEADLINE_PASSED, Timing.millisToNanos(21));
        assertThat(outcome()).isEqualTo(new RequestOutcome.Unknown(UnknownReason.LINK_LOST));
    }

    @Test
    void should_not_resend_a_request_that_is_not_idempotent_when_the_link_is_lost() {
        arrive(1, Method.POST);
        controller.onLinkLost(forward().to(), 1, effects::add);
        assertThat(outcome()).isEqualTo(new RequestOutcome.Unknown(UnknownReason.LINK_LOST));
    }

    @Test
    void should_ignore_the_end_of_an_earlier_attempt_when_it_is_received_twice() {
        arrive(1, Method.POST);
        Effect.SendToPeer first = forward();
        refuse(first, NotRunReason.SHED, 1);
        controller.advance(Timing.millisToNanos(20), effects::add);
        Effect.SendToPeer second = forward();
        effects.clear();
        refuse(first, NotRunReason.SHED, Timing.millisToNanos(21));
        assertThat(effects).isEmpty();
        assertThat(((PeerMessage.Forward) second.message()).attempt()).isEqualTo(2);
    }

    @Test
    void should_reply_not_run_when_no_attempt_reached_a_member() {
        arrive(1, Method.POST);
        for (long now = Timing.millisToNanos(1);
                !(effects.get(effects.size() - 1) instanceof Effect.ReplyToCaller);
                now += 1000) {
            Effect.SendToPeer sent = forward();
            controller.onNotSent(sent.to(), (PeerMessage.Forward) sent.message(), now, effects::add);
            now = controller.nextDue();
            controller.advance(now, effects::add);
        }
        assertThat(outcome()).isEqualTo(new RequestOutcome.NotRun(NotRunReason.MEMBER_UNREACHABLE));
    }

    @Test
    void should_reply_unknown_when_an_order_with_an_idempotency_key_reached_no_member() {
        CallerRequest order =
                new CallerRequest(FaultyFleet.VISIT.name(), "", Method.POST, "/", List.of(), Body.EMPTY, "order", "");
        controller.onCallerRequest(new RequestId(SELF, 1), order, DEADLINE, 0, effects::add);
        controller.advance(DEADLINE, effects::add);
        assertThat(outcome()).isEqualTo(new RequestOutcome.Unknown(UnknownReason.EARLIER_SEND));
    }

    @Test
    void should_stay_within_the_retry_budget_when_every_member_refuses() {
        int requests = 2_000;
        int forwards = 0;
        for (int i = 1; i <= requests; i++) {
            arrive(i, Method.GET);
        }
        for (int round = 1; round <= 40; round++) {
            List<Effect> sent = List.copyOf(effects);
            effects.clear();
            long now = Timing.millisToNanos(10) * round;
            for (Effect effect : sent) {
                if (effect instanceof Effect.SendToPeer forward) {
                    forwards++;
                    refuse(forward, NotRunReason.OVERLOADED, now);
                }
            }
            controller.advance(now, effects::add);
        }
        assertThat(forwards).isBetween(requests, requests + requests / 5 + 100);
    }

    private void arrive(long sequence, Method method) {
        CallerRequest request =
                new CallerRequest(FaultyFleet.VISIT.name(), "", method, "/", List.of(), Body.EMPTY, "", "");
        controller.onCallerRequest(new RequestId(SELF, sequence), request, DEADLINE, 0, effects::add);
    }

    private Effect.SendToPeer forward() {
        return (Effect.SendToPeer) effects.get(effects.size() - 1);
    }

    private RequestOutcome outcome() {
        return ((Effect.ReplyToCaller) effects.get(effects.size() - 1)).outcome();
    }

    private void refuse(Effect.SendToPeer sent, NotRunReason reason, long now) {
        PeerMessage.Forward forward = (PeerMessage.Forward) sent.message();
        RequestOutcome refusal = new RequestOutcome.NotRun(reason);
        controller.onAttemptEnded(
                sent.to(), new PeerMessage.Ended(forward.id(), forward.attempt(), refusal), now, effects::add);
    }

    private static Row member(String name) {
        MemberId id = new MemberId(name, 1);
        MemberRow row = new MemberRow(
                id, FaultyFleet.VISIT.name(), ZONE, ADDRESS, MemberStatus.ACTIVE, List.of(), "start", 4, "op");
        return new Row(MemberRow.keyOf(id), 1, row);
    }
}
