package org.verbenamast.core.fleet;

import java.util.ArrayList;
import java.util.List;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.membership.ServerAnnouncement;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.NodeCore;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.core.node.Timing;

/** One incarnation of a node, with its own clock that has a random offset and drifts. */
final class VirtualNode {

    private static final long PER_MILLE = 1_000;

    final int index;
    final MemberId id;
    final NodeCore core;
    private final long clockOffset;
    private final long driftPerMille;
    private final List<NodeInput> deferredInputs = new ArrayList<>();
    private long pausedUntil;
    private boolean dead;
    long nextWakeUp = -1;

    VirtualNode(int index, CoreSettings settings, long clockStart, long driftPerMille) {
        this.index = index;
        this.id = settings.self();
        this.core = new NodeCore(settings);
        this.clockOffset = clockStart;
        this.driftPerMille = driftPerMille;
    }

    /** Converts true time to the time of the node's clock. */
    long clock(long now) {
        return clockOffset + now + now * driftPerMille / PER_MILLE;
    }

    /** Converts a time of the node's clock to the first true time at which the clock has reached it. */
    long trueTime(long clock) {
        if (clock == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        long lowerBound = Math.max(0, (clock - clockOffset) * PER_MILLE / (PER_MILLE + driftPerMille));
        return lowerBound + 1;
    }

    /** Passes an input to the node, or defers it while the node is paused. */
    List<Effect> handle(NodeInput input, long now) {
        if (dead) {
            return List.of();
        }
        if (now < pausedUntil) {
            deferredInputs.add(input);
            return List.of();
        }
        List<Effect> effects = new ArrayList<>();
        List<NodeInput> inputs = new ArrayList<>(deferredInputs);
        deferredInputs.clear();
        inputs.add(input);
        inputs.forEach(each -> effects.addAll(core.handle(each, clock(now))));
        return effects;
    }

    NodeInput announcement() {
        Address address = new Address("127.0.0.1", 9_000 + index);
        return new NodeInput.ServerAnnounced(new ServerAnnouncement(Fleets.SERVICE, address, "start", 4, 0, false));
    }

    void pauseUntil(long until) {
        pausedUntil = Math.max(pausedUntil, until);
    }

    long pausedUntil() {
        return pausedUntil;
    }

    void kill() {
        dead = true;
    }

    boolean dead() {
        return dead;
    }

    @Override
    public String toString() {
        return id + " (index " + index + ")";
    }

    static long millisToNanos(long millis) {
        return Timing.millisToNanos(millis);
    }
}
