package org.verbenamast.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;

/** An admission controller with a server and rules that a test changes. */
abstract class AdmissionFixture {

    static final ServerIncarnation INCARNATION = new ServerIncarnation("i-1", 1);

    /** Grants the keys below a limit and expects those below another one; a test can evacuate the zone. */
    static final class Rules implements AdmissionRules {
        boolean evacuated;
        int grantedBelow = 100;
        int expectedBelow = 100;

        @Override
        public boolean isEvacuated(boolean keyed, long now) {
            return evacuated && !keyed;
        }

        @Override
        public boolean isGranted(int key, long now) {
            return key < grantedBelow;
        }

        @Override
        public boolean isExpected(int key, long now) {
            return key < expectedBelow;
        }

        @Override
        public boolean isSuspect(long id, long now) {
            return false;
        }
    }

    final Rules rules = new Rules();
    final AdmissionController controller = new AdmissionController(rules, TransitionListener.NONE);
    final List<Effect> effects = new ArrayList<>();
    long now = Timing.millisToNanos(1_000);
    long lastId;

    void setServer(int slots, long coldMillis, double coldPerSecond, long keyedUntil) {
        long coldUntil = now + Timing.millisToNanos(coldMillis);
        ServerStatus status = new ServerStatus(INCARNATION, "s", slots, coldUntil, coldPerSecond, keyedUntil);
        controller.onServerStatus(Optional.of(status), now, effects::add);
    }

    long open(int priority, long objectiveMillis, OptionalInt key) {
        return open("route-" + priority, priority, objectiveMillis, key);
    }

    long open(String route, int priority, long objectiveMillis, OptionalInt key) {
        return open(route, RequestKind.SAFE, priority, objectiveMillis, key);
    }

    long open(String route, RequestKind kind, int priority, long objectiveMillis, OptionalInt key) {
        long id = ++lastId;
        AdmissionRequest request = new AdmissionRequest(
                id,
                "attempt-" + id,
                route,
                "s",
                INCARNATION,
                kind,
                priority,
                key,
                true,
                now,
                now + Timing.millisToNanos(objectiveMillis),
                now + Timing.millisToNanos(2_000));
        controller.onRequest(request, now, effects::add);
        return id;
    }

    List<Long> dispatched() {
        return effects.stream()
                .filter(AdmissionEffect.Dispatch.class::isInstance)
                .map(effect -> ((AdmissionEffect) effect).id())
                .toList();
    }

    Refusal refusalOf(long id) {
        return effects.stream()
                .filter(effect -> effect instanceof AdmissionEffect.Refuse refuse && refuse.id() == id)
                .map(effect -> ((AdmissionEffect.Refuse) effect).reason())
                .findFirst()
                .orElse(null);
    }
}
