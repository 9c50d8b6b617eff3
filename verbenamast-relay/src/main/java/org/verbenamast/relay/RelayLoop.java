package org.verbenamast.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.Consumer;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.chart.Deadlines;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.relay.telemetry.RequestCounts;

/**
 * Runs decisions one at a time on the event loop, executes their effects, and schedules a wake-up for the next
 * deadline.
 */
public final class RelayLoop {

    /** A step of the core that changes its state and emits effects. */
    @FunctionalInterface
    public interface Decision {

        /**
         * Updates the core's state.
         *
         * @param now the monotonic time, in nanoseconds
         * @param effects receives the effects
         */
        void decide(long now, Effects effects);
    }

    private static final Logger LOG = LoggerFactory.getLogger(RelayLoop.class);

    private final Eventloop eventloop;
    private final RelayCore core;
    private final RequestCounts counts;
    private final Consumer<Effect> effectRunner;
    private final Deque<Decision> pending = new ArrayDeque<>();
    private final Deque<Effect> effects = new ArrayDeque<>();
    private boolean running;
    private ScheduledRunnable wakeUp;
    private long wakeUpAt = Deadlines.NOT_ARMED;

    /**
     * Creates a loop.
     *
     * @param eventloop the one event loop of the process
     * @param core the decision logic, which also supplies the next deadline
     * @param counts counts the decisions and effects that fail with an unexpected error
     * @param effectRunner executes effects
     */
    public RelayLoop(Eventloop eventloop, RelayCore core, RequestCounts counts, Consumer<Effect> effectRunner) {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
        this.core = Objects.requireNonNull(core, "core");
        this.counts = Objects.requireNonNull(counts, "counts");
        this.effectRunner = Objects.requireNonNull(effectRunner, "effectRunner");
    }

    /**
     * Returns the time that all decisions use.
     *
     * @return the monotonic time, in nanoseconds
     */
    public static long now() {
        return System.nanoTime();
    }

    /**
     * Runs a decision, or queues it if another one is running.
     *
     * @param decision the decision
     */
    public void run(Decision decision) {
        pending.add(decision);
        if (running) {
            return;
        }
        running = true;
        try {
            while (!pending.isEmpty()) {
                decide(pending.poll());
                runEffects();
            }
        } finally {
            running = false;
        }
        scheduleWakeUp();
    }

    /** Runs one decision. An error in it is confined to it, so that timers and other requests go on. */
    private void decide(Decision decision) {
        try {
            decision.decide(now(), effects::add);
        } catch (RuntimeException | StackOverflowError e) {
            counts.recordError();
            LOG.error("a decision failed; the node keeps running", e);
        }
    }

    /**
     * Handles the store versions in another node's request. Runs no decision if they are not newer than the known ones.
     *
     * @param versions the versions
     */
    public void onStoreVersions(StoreVersions versions) {
        if (core.follow().isNews(versions)) {
            run((now, effects) -> core.follow().onVersions(versions, now, effects));
        }
    }

    /**
     * Handles the store versions in another node's answer. Runs no decision if they change nothing.
     *
     * @param versions the versions
     * @param askedAt the time when this node sent its request, in nanoseconds of the monotonic clock
     */
    public void onAnsweredStoreVersions(StoreVersions versions, long askedAt) {
        if (core.follow().isRelevant(versions, askedAt)) {
            run((now, effects) -> core.follow().onAnsweredVersions(versions, askedAt, now, effects));
        }
    }

    private void runEffects() {
        for (Effect effect = effects.poll(); effect != null; effect = effects.poll()) {
            try {
                effectRunner.accept(effect);
            } catch (RuntimeException | StackOverflowError e) {
                counts.recordError();
                LOG.error("effect {} failed; the node keeps running", effect, e);
            }
        }
    }

    private void scheduleWakeUp() {
        long due = core.nextDue();
        if (wakeUp != null && due >= wakeUpAt) {
            return;
        }
        if (wakeUp != null) {
            wakeUp.cancel();
        }
        wakeUpAt = due;
        long delayMillis = Math.max(1, (due - now()) / Timing.NANOS_PER_MILLI + 1);
        wakeUp = eventloop.delayBackground(Math.min(delayMillis, Integer.MAX_VALUE), () -> {
            wakeUp = null;
            wakeUpAt = Deadlines.NOT_ARMED;
            run(core::advance);
        });
    }
}
