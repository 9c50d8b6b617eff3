package org.verbenamast.core.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.gate.ServeDesk;
import org.verbenamast.core.gate.ServerReply;
import org.verbenamast.core.gate.crash.SuspectDesk;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberDesk;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberTag;
import org.verbenamast.core.membership.ReadingDesk;
import org.verbenamast.core.membership.ServerAnnouncement;
import org.verbenamast.core.membership.SpreadDesk;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.message.PeerMessageHandler;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.ownership.OwnershipDesk;
import org.verbenamast.core.ownership.OwnershipRules;
import org.verbenamast.core.request.DirectoryRouter;
import org.verbenamast.core.request.EntryDesk;
import org.verbenamast.core.request.RoutePolicy;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.StoreDesk;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.trace.DecisionLog;

/**
 * All decisions of one node. It does no input or output, reads no clock and starts no thread: whoever drives it hands
 * in what happened with the time, and carries out the effects.
 *
 * <pre>{@code
 * List<Effect> effects = node.handle(new NodeInput.StopRequested(), now);
 * }</pre>
 */
public final class NodeCore implements PeerMessageHandler, RowSink {

    private static final int DECISIONS_KEPT = 4_096;

    private final CoreSettings settings;
    private final DecisionLog decisions = new DecisionLog(DECISIONS_KEPT);
    private final Directory directory;
    private final StoreDesk store;
    private final MemberDesk member;
    private final SpreadDesk spread;
    private final ReadingDesk reading;
    private final OwnershipDesk ownership;
    private final EntryDesk entries;
    private final ServeDesk serving;
    private final SuspectDesk suspects;
    private final Deque<NodeInput> toSelf = new ArrayDeque<>();
    private List<Effect> effects = new ArrayList<>();

    /**
     * Makes the decisions of a node that has just started.
     *
     * @param settings the node's settings
     */
    public NodeCore(CoreSettings settings) {
        this.settings = settings;
        this.directory = new Directory(settings.services());
        this.store = new StoreDesk(Timing.nanos(settings.timing().storeTimeoutMillis()), decisions);
        this.member = new MemberDesk(settings, directory, store, this, decisions);
        this.reading = new ReadingDesk(settings, directory, store, this, decisions);
        this.ownership = new OwnershipDesk(
                settings,
                directory,
                store,
                OwnershipRules.DEFAULT,
                now -> member.is(MemberTag.JOINED),
                this,
                decisions);
        this.spread = new SpreadDesk(settings, directory, ownership::rate);
        this.suspects = new SuspectDesk(settings.self(), directory, decisions);
        DirectoryRouter router = new DirectoryRouter(settings, directory, suspects, RoutePolicy.DEFAULT, decisions);
        this.entries = new EntryDesk(settings, router, decisions);
        this.serving = new ServeDesk(settings, member, ownership, suspects, decisions);
    }

    /**
     * Takes what happened and decides.
     *
     * @param input what happened
     * @param now the monotonic time, in nanoseconds
     * @return what is to be done, in order
     */
    public List<Effect> handle(NodeInput input, long now) {
        effects = new ArrayList<>();
        input.deliver(this, now);
        advance(now);
        while (!toSelf.isEmpty()) {
            toSelf.poll().deliver(this, now);
        }
        return effects;
    }

    private void advance(long now) {
        store.advance(now, this::emit);
        member.advance(now, this::emit);
        reading.advance(now, this::emit);
        spread.advance(now, this::emit);
        ownership.advance(now, this::emit);
        entries.advance(now, this::emit);
        serving.advance(now, this::emit);
        suspects.advance(now, this::emit);
        if (member.is(MemberTag.STOPPING) && ownership.owned() == 0 && serving.open() == 0 && entries.open() == 0) {
            member.emptied(now, this::emit);
        }
    }

    private void emit(Effect effect) {
        if (effect instanceof Effect.SendToPeer send && send.to().equals(settings.self())) {
            toSelf.add(new NodeInput.PeerReceived(settings.self(), send.message()));
        } else {
            effects.add(effect);
        }
    }

    /**
     * Returns when the node has something to do next, if nothing happens before.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        long due = Math.min(store.nextDue(), Math.min(member.nextDue(), spread.nextDue()));
        due = Math.min(due, Math.min(reading.nextDue(), suspects.nextDue()));
        return Math.min(due, Math.min(ownership.nextDue(), Math.min(entries.nextDue(), serving.nextDue())));
    }

    /**
     * Returns the rows that the node knows.
     *
     * @return the directory
     */
    public Directory directory() {
        return directory;
    }

    /**
     * Returns the last decisions of the node.
     *
     * @return the log
     */
    public DecisionLog decisions() {
        return decisions;
    }

    /**
     * Returns the node's own membership.
     *
     * @return the desk that keeps it
     */
    public MemberDesk member() {
        return member;
    }

    /**
     * Returns the slices that the node owns.
     *
     * @return the desk that keeps them
     */
    public OwnershipDesk ownership() {
        return ownership;
    }

    /**
     * Returns the requests at the backend server beside the node.
     *
     * @return the desk that keeps them
     */
    public ServeDesk serving() {
        return serving;
    }

    /**
     * Returns the requests that the node took from callers.
     *
     * @return the desk that keeps them
     */
    public EntryDesk entries() {
        return entries;
    }

    @Override
    public void wrote(Row row, long now, org.verbenamast.core.effect.Effects out) {
        if (learn(row, now)) {
            spread.learnt(row, now);
        }
        if (row.key().equals(MemberRow.keyOf(settings.self()))) {
            reading.joined(now, this::emit);
        }
    }

    @Override
    public void read(Row row, long now, org.verbenamast.core.effect.Effects out) {
        if (learn(row, now)) {
            spread.found(row, now);
        }
    }

    private boolean learn(Row row, long now) {
        boolean newcomer = row.value() instanceof MemberRow member
                && !member.status().over()
                && directory.member(member.id()) == null;
        if (!directory.learn(row)) {
            return false;
        }
        if (newcomer) {
            suspects.learnt(((MemberRow) row.value()).id(), now, this::emit);
        }
        if (row.value() instanceof MemberRow known && known.status().over()) {
            entries.forget(known.id(), now);
            serving.runs().forget(known.id());
        }
        member.learnt(row, now, this::emit);
        ownership.learnt(row, now, this::emit);
        serving.runs().learnt(row, now, this::emit);
        return true;
    }

    void onNotSent(MemberId to, PeerMessage message, long now) {
        if (message instanceof PeerMessage.Forward forward) {
            entries.notSent(to, forward, now, this::emit);
        }
    }

    void onLinkLost(MemberId peer, long now) {
        entries.linkLost(peer, now, this::emit);
    }

    void onCallerArrived(NodeInput.CallerArrived arrived, long now) {
        entries.arrived(arrived.id(), arrived.request(), arrived.deadline(), now, this::emit);
    }

    void onCallerGone(RequestId id, long now) {
        entries.callerGone(id, now, this::emit);
    }

    void onServerReplied(RequestId id, ServerReply reply, long now) {
        serving.replied(id, reply, now, this::emit);
    }

    void onServerAnnounced(ServerAnnouncement announcement, long now) {
        member.announced(announcement, now, this::emit);
        serving.announced(announcement, now, this::emit);
    }

    void onStoreReplied(long call, StoreReply reply, long now) {
        store.replied(call, reply, now, this::emit);
    }

    void onStopRequested(long now) {
        member.stop(now, this::emit);
    }

    @Override
    public void onForward(MemberId from, PeerMessage.Forward message, long now) {
        serving.offered(from, message, now, this::emit);
    }

    @Override
    public void onEnded(MemberId from, PeerMessage.Ended message, long now) {
        entries.ended(from, message, now, this::emit);
    }

    @Override
    public void onCancel(MemberId from, PeerMessage.Cancel message, long now) {
        serving.cancelled(message.id(), message.attempt(), now, this::emit);
    }

    @Override
    public void onVouch(MemberId from, PeerMessage.Vouch message, long now) {
        // Leases are not decided here yet.
    }

    @Override
    public void onVouchReply(MemberId from, PeerMessage.VouchReply message, long now) {
        // Leases are not decided here yet.
    }

    @Override
    public void onSeal(MemberId from, PeerMessage.Seal message, long now) {
        // Leases are not decided here yet.
    }

    @Override
    public void onSealReply(MemberId from, PeerMessage.SealReply message, long now) {
        // Leases are not decided here yet.
    }

    @Override
    public void onRowPush(MemberId from, PeerMessage.RowPush message, long now) {
        message.rows().forEach(row -> pushed(from, row, now));
    }

    private void pushed(MemberId from, Row row, long now) {
        if (learn(row, now)) {
            spread.learnt(row, now);
        } else {
            spread.refused(from, row, this::emit);
        }
    }

    @Override
    public void onDigestOffer(MemberId from, PeerMessage.DigestOffer message, long now) {
        if (message.buckets().size() == 1) {
            ownership.heard(from, message.rate(), now);
        }
        spread.offered(from, message, this::emit);
    }

    @Override
    public void onBucketVersions(MemberId from, PeerMessage.BucketVersions message, long now) {
        spread.compared(from, message, now, this::emit);
    }

    @Override
    public void onCrashNotice(MemberId from, PeerMessage.CrashNotice message, long now) {
        suspects.heard(message, now, this::emit);
    }

    @Override
    public void onCrashQuery(MemberId from, PeerMessage.CrashQuery message, long now) {
        suspects.asked(from, this::emit);
    }

    @Override
    public void onCrashHistory(MemberId from, PeerMessage.CrashHistory message, long now) {
        suspects.answered(message, now, this::emit);
    }

    @Override
    public void onRunRecords(MemberId from, PeerMessage.RunRecords message, long now) {
        serving.runs().recordsCame(message, now, this::emit);
    }

    @Override
    public void onRowRequest(MemberId from, PeerMessage.RowRequest message, long now) {
        spread.requested(from, message, this::emit);
    }
}
