package org.verbenamast.node.loop;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.node.NodeCore;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.core.node.Timing;

/** Drives the decisions of a node on the event loop: hands in what happened, carries out effects, wakes for timers. */
public final class NodeLoop {

    private final Eventloop eventloop;
    private final NodeCore core;
    private final EffectRunner runner;
    private final Deque<NodeInput> pending = new ArrayDeque<>();
    private boolean handling;
    private ScheduledRunnable wakeUp;
    private long wakeUpAt = Long.MAX_VALUE;

    /**
     * Makes a loop driver.
     *
     * @param eventloop the one event loop of the process
     * @param core the decisions
     * @param runner carries out effects
     */
    public NodeLoop(Eventloop eventloop, NodeCore core, EffectRunner runner) {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
        this.core = Objects.requireNonNull(core, "core");
        this.runner = Objects.requireNonNull(runner, "runner");
    }

    /**
     * Returns the monotonic time.
     *
     * @return the time in nanoseconds
     */
    public static long now() {
        return System.nanoTime();
    }

    /**
     * Hands in what happened. Must be called on the event loop.
     *
     * @param input what happened
     */
    public void feed(NodeInput input) {
        pending.add(input);
        if (handling) {
            return;
        }
        handling = true;
        try {
            while (!pending.isEmpty()) {
                for (Effect effect : core.handle(pending.poll(), now())) {
                    runner.run(effect);
                }
            }
        } finally {
            handling = false;
        }
        scheduleWakeUp();
    }

    /**
     * Hands in what happened on another thread.
     *
     * @param input what happened
     */
    public void feedFromOutside(NodeInput input) {
        eventloop.execute(() -> feed(input));
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
        wakeUp = eventloop.delayBackground(delayMillis, () -> {
            wakeUp = null;
            wakeUpAt = Long.MAX_VALUE;
            feed(new NodeInput.Tick());
        });
    }
}
