package org.verbenamast.core.gate.limit;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.gate.ServerReplyKind;
import org.verbenamast.core.membership.ServerAnnouncement;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;

/** Tracks the backend server beside this node: the requests that it is running, and its concurrency limit. */
public final class ServerLimitController {

    /** The vocabulary of chart {@code server}. */
    public static final Vocabulary<ServerEvent, ServerGuard, ServerAction, ServerTimer, ServerTag> VOCABULARY =
            new Vocabulary<>(
                    ServerEvent.class, ServerGuard.class, ServerAction.class, ServerTimer.class, ServerTag.class);

    private static final int MIN_SLOW_REQUESTS = 2;

    private record StartedCall(long startedAt, String startId) {}

    private final MemberId self;
    private final ChartInstances<MemberId, ServerEvent, ServerData, ServerInput> server;
    private final Map<RequestId, StartedCall> running = new LinkedHashMap<>();

    /**
     * Creates the controller of a backend server that has not announced itself yet.
     *
     * @param self this node
     * @param settings how the concurrency limit grows
     * @param listener notified of each transition
     */
    public ServerLimitController(MemberId self, RampSettings settings, TransitionListener listener) {
        this.self = Objects.requireNonNull(self, "self");
        Chart<ServerEvent, ServerData, ServerInput> chart = ChartReader.bundled("server", VOCABULARY);
        this.server = new ChartInstances<>(chart, event -> ServerInput.NONE, listener);
        server.begin(self, ServerData.initial(settings), 0);
    }

    /**
     * Handles an announcement of the backend server.
     *
     * @param announcement the announcement
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onAnnouncement(ServerAnnouncement announcement, long now, Effects effects) {
        fire(ServerEvent.ANNOUNCED, new ServerInput(announcement, 0), now, effects);
    }

    /**
     * Records that a request is sent to the backend server.
     *
     * @param id the request's identity
     * @param now the monotonic time, in nanoseconds
     */
    public void onCallStarted(RequestId id, long now) {
        running.put(id, new StartedCall(now, data().announcement().start()));
    }

    /**
     * Returns the start id of the server incarnation that a request was sent to.
     *
     * @param id the identity of a request that the backend server is running
     * @return the start id
     */
    public String startIdOf(RequestId id) {
        return running.get(id).startId();
    }

    /**
     * Handles the end of a call to the backend server.
     *
     * @param id the request's identity
     * @param kind the result of the call
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onCallEnded(RequestId id, ServerReplyKind kind, long now, Effects effects) {
        StartedCall started = running.remove(id);
        long latency = started == null ? 0 : now - started.startedAt();
        fire(kind.serverEvent(), new ServerInput(null, latency), now, effects);
    }

    /**
     * Checks whether the backend server has become slow, and restarts its ramp if so. A server is slow if at least half
     * of its requests, and at least two, take much longer than usual. The oldest requests come first, so the count
     * stops at the first one that is not slow.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void detectSlowdown(long now, Effects effects) {
        Latency latency = data().latency();
        int slow = 0;
        for (StartedCall started : running.values()) {
            if (!latency.isSlow(now - started.startedAt())) {
                break;
            }
            slow++;
        }
        if (slow >= MIN_SLOW_REQUESTS && slow * 2 >= running.size()) {
            fire(ServerEvent.SLOWED, ServerInput.NONE, now, effects);
        }
    }

    /**
     * Returns whether the backend server has a free slot.
     *
     * @return whether it accepts requests and runs fewer than its concurrency limit
     */
    public boolean hasSlot() {
        return isOpen() && running() < data().limit();
    }

    /**
     * Returns whether the backend server accepts new requests at all.
     *
     * @return whether it is present and not draining
     */
    public boolean isOpen() {
        return instance().hasTag(ServerTag.OPEN);
    }

    /**
     * Returns whether the chart state of the backend server has a tag.
     *
     * @param tag the tag
     * @return whether the state has it
     */
    public boolean is(ServerTag tag) {
        return instance().hasTag(tag);
    }

    /**
     * Returns the concurrency limit of the backend server.
     *
     * @return the number of requests that it may run at once
     */
    public int limit() {
        return data().limit();
    }

    /**
     * Returns how many requests the backend server is running.
     *
     * @return the number, including cancelled requests that the server is not done with
     */
    public int running() {
        return running.size();
    }

    /**
     * Estimates how long a request waits in the queue.
     *
     * @param waiting the number of requests ahead of it
     * @return the time until the backend server has a free slot for it, in nanoseconds
     */
    public long expectedWaitNanos(int waiting) {
        long mean = data().latency().meanNanos();
        return (waiting + 1) * mean / Math.max(1, data().limit());
    }

    /**
     * Returns the backend server's usual latency.
     *
     * @return the latency
     */
    public Latency latency() {
        return data().latency();
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        server.advance(now, effects);
    }

    /**
     * Returns when the next timer is due.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return server.nextDue();
    }

    private Instance<ServerData> instance() {
        return server.find(self);
    }

    private ServerData data() {
        return instance().data();
    }

    private void fire(ServerEvent event, ServerInput input, long now, Effects effects) {
        server.fire(self, event, input, now, effects);
    }
}
