package org.verbenamast.core.gate;

import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.NoTag;
import org.verbenamast.core.chart.Population;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.MemberDesk;
import org.verbenamast.core.membership.MemberTag;
import org.verbenamast.core.membership.ServerAnnouncement;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.ownership.OwnershipDesk;

/** The requests that the backend server beside this node is to run, and the only way to it. */
public final class ServeDesk implements Gate {

    /** The names that the chart file may use. */
    public static final Vocabulary<ServeEvent, ServeGuard, ServeAction, ServeTimer, NoTag> VOCABULARY =
            new Vocabulary<>(ServeEvent.class, ServeGuard.class, ServeAction.class, ServeTimer.class, NoTag.class);

    private final CoreSettings settings;
    private final ServiceSettings service;
    private final MemberDesk member;
    private final OwnershipDesk ownership;
    private final Population<RequestId, ServeEvent, ServeData, ServeInput> requests;
    private final Set<RequestId> queue = new LinkedHashSet<>();
    private final ServeInput plain = new ServeInput(this, null);
    private int running;

    /**
     * Makes a desk without requests.
     *
     * @param settings the node's settings
     * @param member the node's own membership
     * @param ownership the slices that the node owns
     * @param listener is told of each transition
     */
    public ServeDesk(CoreSettings settings, MemberDesk member, OwnershipDesk ownership, TransitionListener listener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.service = settings.serviceOf(settings.service()).orElseThrow();
        this.member = Objects.requireNonNull(member, "member");
        this.ownership = Objects.requireNonNull(ownership, "ownership");
        Chart<ServeEvent, ServeData, ServeInput> chart = ChartReader.bundled("serve", VOCABULARY);
        this.requests = new Population<>(chart, event -> plain, listener);
    }

    /**
     * Takes a request from another member or from this one.
     *
     * @param from the sender
     * @param forward the request
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void offered(MemberId from, PeerMessage.Forward forward, long now, Effects effects) {
        if (requests.find(forward.id()) != null) {
            return;
        }
        SliceId slice = service.keyed() ? service.sliceOf(forward.request().key()) : null;
        long deadline = now + forward.remainingNanos();
        requests.begin(forward.id(), new ServeData(forward.id(), from, forward.request(), slice, deadline), now);
        requests.fire(forward.id(), ServeEvent.OFFERED, plain, now, effects);
    }

    /**
     * Takes the end of a call to the backend server.
     *
     * @param id the request's identity
     * @param reply how the call ended
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void replied(RequestId id, ServerReply reply, long now, Effects effects) {
        requests.fire(id, ServeEvent.SERVER_REPLIED, new ServeInput(this, reply), now, effects);
        admitNext(now, effects);
    }

    private void admitNext(long now, Effects effects) {
        while (hasSlot() && !queue.isEmpty()) {
            requests.fire(queue.iterator().next(), ServeEvent.SLOT_FREED, plain, now, effects);
        }
    }

    /**
     * Gives up a request for which nobody waits any more.
     *
     * @param id the request's identity
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void cancelled(RequestId id, long now, Effects effects) {
        requests.fire(id, ServeEvent.CANCELLED, plain, now, effects);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        requests.advance(now, effects);
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return requests.nextDue();
    }

    /**
     * Returns how many requests the backend server has.
     *
     * @return the number
     */
    public int running() {
        return running;
    }

    /**
     * Returns how many requests are under way.
     *
     * @return the number, those that wait included
     */
    public int open() {
        return requests.size();
    }

    @Override
    public boolean mayServe(ServeData data, long now) {
        if (!member.is(MemberTag.JOINED) || !data.request().service().equals(service.name())) {
            return false;
        }
        return data.slice() == null ? !member.is(MemberTag.STOPPING) : ownership.admits(data.slice(), now);
    }

    @Override
    public boolean hasSlot() {
        ServerAnnouncement server = member.server();
        return server != null && running < server.slots();
    }

    @Override
    public boolean hasQueueRoom() {
        return queue.size() < settings.queueLimit();
    }

    @Override
    public void call(ServeData data, long now, Effects effects) {
        running++;
        int slice = -1;
        long epoch = 0;
        if (data.slice() != null) {
            slice = data.slice().number();
            epoch = ownership.epoch(data.slice());
            ownership.started(data.slice(), now, effects);
        }
        long remaining = data.deadline() - now;
        effects.emit(
                new Effect.CallServer(data.id(), member.server().address(), data.request(), slice, epoch, remaining));
    }

    @Override
    public void release(ServeData data, ServerReply reply, long now, Effects effects) {
        running--;
        if (data.slice() != null) {
            ownership.finished(data.slice(), now, effects);
        }
    }

    @Override
    public void enqueue(ServeData data) {
        queue.add(data.id());
    }

    @Override
    public void dequeue(ServeData data) {
        queue.remove(data.id());
    }

    @Override
    public void cancelAtServer(ServeData data, Effects effects) {
        effects.emit(new Effect.CancelAtServer(data.id(), member.server().address()));
    }
}
