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

/** The backend server beside this node: what it runs, and how much it may run at once. */
public final class ServerController {

    /** The names that the chart file may use. */
    public static final Vocabulary<ServerEvent, ServerGuard, ServerAction, ServerTimer, ServerTag> VOCABULARY =
            new Vocabulary<>(
                    ServerEvent.class, ServerGuard.class, ServerAction.class, ServerTimer.class, ServerTag.class);

    private static final int LEAST_SLOW = 2;

    private record Started(long at, String start) {}

    private final MemberId self;
    private final ChartInstances<MemberId, ServerEvent, ServerData, ServerInput> server;
    private final Map<RequestId, Started> running = new LinkedHashMap<>();

    /**
     * Makes the desk of a backend server that has not announced itself.
     *
     * @param self this node
     * @param settings how the limit grows
     * @param listener is told of each transition
     */
    public ServerController(MemberId self, RampSettings settings, TransitionListener listener) {
        this.self = Objects.requireNonNull(self, "self");
        Chart<ServerEvent, ServerData, ServerInput> chart = ChartReader.bundled("server", VOCABULARY);
        this.server = new ChartInstances<>(chart, event -> ServerInput.NONE, listener);
        server.begin(self, ServerData.unseen(settings), 0);
    }

    /**
     * Takes an announcement of the backend server.
     *
     * @param announcement the announcement
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void announced(ServerAnnouncement announcement, long now, Effects effects) {
        fire(ServerEvent.ANNOUNCED, new ServerInput(announcement, 0), now, effects);
    }

    /**
     * Notes that the backend server is given a request.
     *
     * @param id the request's identity
     * @param now the monotonic time, in nanoseconds
     */
    public void started(RequestId id, long now) {
        running.put(id, new Started(now, data().announcement().start()));
    }

    /**
     * Returns the start id of the run of the backend server that was given a request.
     *
     * @param id the identity of a request that the backend server has
     * @return the start id
     */
    public String startOf(RequestId id) {
        return running.get(id).start();
    }

    /**
     * Notes that the backend server is done with a request.
     *
     * @param id the request's identity
     * @param kind how the call ended
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void ended(RequestId id, ServerReplyKind kind, long now, Effects effects) {
        Started started = running.remove(id);
        long latency = started == null ? 0 : now - started.at();
        fire(kind.serverEvent(), new ServerInput(null, latency), now, effects);
    }

    /**
     * Notices that the backend server has turned slow: at least half of its requests last much longer than usual.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void review(long now, Effects effects) {
        Latency latency = data().latency();
        int slow = 0;
        for (Started started : running.values()) {
            if (!latency.slow(now - started.at())) {
                break;
            }
            slow++;
        }
        if (slow >= LEAST_SLOW && slow * 2 >= running.size()) {
            fire(ServerEvent.SLOWED, ServerInput.NONE, now, effects);
        }
    }

    /**
     * Tells whether the backend server may be given one more request.
     *
     * @return whether it is open and runs fewer than its limit
     */
    public boolean hasSlot() {
        return open() && running() < data().limit();
    }

    /**
     * Tells whether the backend server takes new work at all.
     *
     * @return whether it is there and not draining
     */
    public boolean open() {
        return instance().hasTag(ServerTag.OPEN);
    }

    /**
     * Tells whether the state of the backend server carries a tag.
     *
     * @param tag the tag
     * @return whether it does
     */
    public boolean is(ServerTag tag) {
        return instance().hasTag(tag);
    }

    /**
     * Returns how many requests the backend server may run at once.
     *
     * @return the present limit
     */
    public int limit() {
        return data().limit();
    }

    /**
     * Returns how many requests the backend server has.
     *
     * @return the number, those for which nobody waits any more included
     */
    public int running() {
        return running.size();
    }

    /**
     * Estimates how long a request waits behind others.
     *
     * @param waiting the number of requests that wait before it
     * @return the time until the backend server can take it, in nanoseconds
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
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        server.advance(now, effects);
    }

    /**
     * Returns when this desk has something to do next.
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
