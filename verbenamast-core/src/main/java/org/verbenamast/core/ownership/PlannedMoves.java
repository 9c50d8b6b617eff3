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
 * Starts the moves of this node's slices that the plan asks for, a few at a time, and redirects or cancels moves whose
 * target no longer accepts slices.
 *
 * <p>Rows reach a node in any order, so its plan may briefly combine new rows with old ones. A move therefore starts
 * only after the plan has asked for it without interruption for the time that rows need to spread.
 */
final class PlannedMoves {

    private static final int MAX_CONCURRENT_MOVES = 8;
    private static final int MAX_MOVES_PER_SECOND = 8;
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_CONCURRENT_MOVES_WHEN_GIVING_UP = 64;
    private static final long MOVE_STABILIZATION_DELAY_NANOS =
            Duration.ofSeconds(2).toNanos();
    private static final long DRAIN_TIMEOUT_MILLIS = 2_000;

    private final CoreSettings settings;
    private final Directory directory;
    private final ChartInstances<SliceId, SliceEvent, SliceData, SliceInput> slices;
    private final TargetPlan plan;
    private final Map<SliceId, Long> plannedSince = new HashMap<>();
    private long windowStart;
    private int startedInWindow;

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

    /** Returns the targets of the moves that are under way, by slice number. */
    Map<Integer, MemberId> targets() {
        Map<Integer, MemberId> moving = new HashMap<>();
        slices.forEach((slice, owned) -> {
            if (owned.hasTag(SliceTag.MOVING)) {
                moving.put(slice.number(), owned.data().move().target());
            }
        });
        return moving;
    }

    /** Redirects each move whose target no longer accepts slices, or cancels it if the plan keeps the slice here. */
    void redirect(long now, Effects effects) {
        List<SliceId> affected = new ArrayList<>();
        slices.forEach((slice, owned) -> {
            if (owned.hasTag(SliceTag.REDIRECTABLE)
                    && !acceptsSlices(owned.data().move().target())) {
                affected.add(slice);
            }
        });
        for (SliceId slice : affected) {
            SliceInput move = moveInput(slice);
            boolean keepHere = move.move().target().equals(settings.self());
            slices.fire(slice, keepHere ? SliceEvent.STAY : SliceEvent.MOVE, move, now, effects);
        }
    }

    private boolean acceptsSlices(MemberId target) {
        MemberRow member = directory.member(target);
        return member != null && member.status().acceptsSlices();
    }

    private SliceInput moveInput(SliceId slice) {
        long drainMillis = mustGiveUpSlices() ? settings.timing().longestRequestMillis() : DRAIN_TIMEOUT_MILLIS;
        return new SliceInput(new SliceMove(plan.target(slice.number()), Timing.millisToNanos(drainMillis)));
    }

    private boolean shouldMoveTo(MemberId target) {
        return !target.equals(settings.self()) && (mustGiveUpSlices() || !target.isNone());
    }

    /** Returns whether this member is leaving or withdrawn, so that it has to give up all its slices. */
    private boolean mustGiveUpSlices() {
        MemberRow self = directory.member(settings.self());
        return self != null && !self.status().acceptsSlices();
    }

    /** Starts the moves that the plan asks for, slices with the highest load first, as far as the limits allow. */
    void start(long now, Effects effects) {
        List<SliceId> candidates = new ArrayList<>();
        int[] moving = {0};
        slices.forEach((slice, owned) -> {
            if (owned.hasTag(SliceTag.MOVING)) {
                moving[0]++;
            } else if (owned.hasTag(SliceTag.MOVABLE) && shouldMoveTo(plan.target(slice.number()))) {
                candidates.add(slice);
            }
        });
        plannedSince.keySet().retainAll(candidates);
        candidates.forEach(slice -> plannedSince.putIfAbsent(slice, now));
        List<SliceId> starting = candidates.stream()
                .filter(slice -> mustGiveUpSlices() || now - plannedSince.get(slice) >= MOVE_STABILIZATION_DELAY_NANOS)
                .sorted(highestLoadFirst())
                .limit(allowedMoves(moving[0], now))
                .toList();
        startedInWindow += starting.size();
        starting.forEach(slice -> slices.fire(slice, SliceEvent.MOVE, moveInput(slice), now, effects));
    }

    /** Returns how many moves may start now, given those under way and those started in the present second. */
    private int allowedMoves(int moving, long now) {
        if (mustGiveUpSlices()) {
            return Math.max(0, MAX_CONCURRENT_MOVES_WHEN_GIVING_UP - moving);
        }
        if (now - windowStart >= SECOND_NANOS) {
            windowStart = now;
            startedInWindow = 0;
        }
        return Math.max(0, Math.min(MAX_CONCURRENT_MOVES - moving, MAX_MOVES_PER_SECOND - startedInWindow));
    }

    private Comparator<SliceId> highestLoadFirst() {
        return Comparator.comparing((SliceId slice) -> plan.load(slice.number()))
                .reversed()
                .thenComparing(SliceId::number);
    }
}
