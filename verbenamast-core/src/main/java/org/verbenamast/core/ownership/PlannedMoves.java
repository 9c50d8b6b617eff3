package org.verbenamast.core.ownership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.Timing;

/**
 * Starts the moves of this node's slices that the plan asks for, a few at a time, and redirects them.
 *
 * <p>Rows reach a node in any order, so that for a moment its plan may rest on some new rows and some old ones. A move
 * therefore starts only where the plan has asked for it all the time that rows need to spread.
 */
final class PlannedMoves {

    private static final int MAX_MOVES = 8;
    private static final int MAX_MOVES_PER_SECOND = 8;
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_MOVES_WHEN_LEAVING = 64;
    private static final long WANTED_NANOS = Duration.ofSeconds(2).toNanos();
    private static final long DRAIN_MILLIS = 2_000;

    private final CoreSettings settings;
    private final Directory directory;
    private final ChartInstances<SliceId, SliceEvent, SliceData, SliceInput> slices;
    private final TargetPlan plan;
    private final Map<SliceId, Long> wantedSince = new HashMap<>();
    private long secondSince;
    private int started;

    PlannedMoves(
            CoreSettings settings,
            Directory directory,
            ChartInstances<SliceId, SliceEvent, SliceData, SliceInput> slices,
            TargetPlan plan) {
        this.settings = settings;
        this.directory = directory;
        this.slices = slices;
        this.plan = plan;
    }

    /** Returns the next owners of the slices that are on their way, by slice number. */
    Map<Integer, MemberId> targets() {
        Map<Integer, MemberId> moving = new HashMap<>();
        slices.forEach((slice, owned) -> {
            if (owned.is(SliceTag.MOVING)) {
                moving.put(slice.number(), owned.data().move().target());
            }
        });
        return moving;
    }

    /** Gives the slices on their way another target, or none, where the target takes no slices any more. */
    void redirect(long now, Effects effects) {
        List<SliceId> lost = new ArrayList<>();
        slices.forEach((slice, owned) -> {
            if (owned.is(SliceTag.RECALLABLE)
                    && !takesSlices(owned.data().move().target())) {
                lost.add(slice);
            }
        });
        for (SliceId slice : lost) {
            SliceInput move = moveOf(slice);
            boolean stays = move.move().target().equals(settings.self());
            slices.fire(slice, stays ? SliceEvent.STAY : SliceEvent.MOVE, move, now, effects);
        }
    }

    private boolean takesSlices(MemberId target) {
        MemberRow member = directory.member(target);
        return member != null && member.status().takesSlices();
    }

    private SliceInput moveOf(SliceId slice) {
        long drainMillis = leaving() ? settings.timing().longestRequestMillis() : DRAIN_MILLIS;
        return new SliceInput(new SliceMove(plan.target(slice.number()), Timing.millisToNanos(drainMillis)));
    }

    private boolean parts(MemberId target) {
        return !target.equals(settings.self()) && (leaving() || !target.isNone());
    }

    private boolean leaving() {
        MemberRow self = directory.member(settings.self());
        return self != null && !self.status().takesSlices();
    }

    /** Starts the moves that the plan asks for, the hottest slices first, as far as the limits allow. */
    void start(long now, Effects effects) {
        List<SliceId> parting = new ArrayList<>();
        int[] moving = {0};
        slices.forEach((slice, owned) -> {
            if (owned.is(SliceTag.MOVING)) {
                moving[0]++;
            } else if (owned.is(SliceTag.MOVABLE) && parts(plan.target(slice.number()))) {
                parting.add(slice);
            }
        });
        wantedSince.keySet().retainAll(parting);
        parting.forEach(slice -> wantedSince.putIfAbsent(slice, now));
        List<SliceId> starting = parting.stream()
                .filter(slice -> leaving() || now - wantedSince.get(slice) >= WANTED_NANOS)
                .sorted(hottestFirst())
                .limit(allowed(moving[0], now))
                .toList();
        started += starting.size();
        starting.forEach(slice -> slices.fire(slice, SliceEvent.MOVE, moveOf(slice), now, effects));
    }

    /** Returns how many moves may start now, by those under way and those started in the last second. */
    private int allowed(int moving, long now) {
        if (leaving()) {
            return Math.max(0, MAX_MOVES_WHEN_LEAVING - moving);
        }
        if (now - secondSince >= SECOND_NANOS) {
            secondSince = now;
            started = 0;
        }
        return Math.max(0, Math.min(MAX_MOVES - moving, MAX_MOVES_PER_SECOND - started));
    }

    private Comparator<SliceId> hottestFirst() {
        return Comparator.comparing((SliceId slice) -> plan.heat(slice.number()))
                .reversed()
                .thenComparing(SliceId::number);
    }
}
