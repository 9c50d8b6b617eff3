package org.verbenamast.core.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.ownership.SliceGrant;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.StoreFailure;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.trace.Decision;

/** Simulates nodes, a network and a table service on virtual time, and checks the invariants after every step. */
final class VirtualFleet {

    private static final int MAX_TRACE_LINES = 60;
    private static final long MAX_STEPS = 200_000;
    private static final int MAX_DECISIONS_PER_NODE = 16;
    private static final Set<String> ROUTINE_EVENTS = Set.of("ASK_DUE", "VOUCHED", "VOUCH_ASKED", "ROW_LEARNT");
    private static final long RESTART_DELAY_MILLIS = 800;

    final SplittableRandom random;
    final VirtualLinks links;
    final List<VirtualNode> nodes = new ArrayList<>();
    private final VirtualStore store = new VirtualStore();
    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private final Deque<String> trace = new ArrayDeque<>();
    private final int slices;
    private long now;
    private long lastStepNumber;
    private long lastIncarnation;
    private long stepCount;

    VirtualFleet(long seed, int size, int slices) {
        this.random = new SplittableRandom(seed);
        this.links = new VirtualLinks(random);
        this.slices = slices;
        for (int index = 0; index < size; index++) {
            nodes.add(null);
            start(index);
        }
    }

    private record Step(long at, long number, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    long now() {
        return now;
    }

    void start(int index) {
        long drift = random.nextInt(3) * 10L - 10;
        long clockOffset = random.nextLong(1L << 50) - (1L << 49);
        VirtualNode node =
                new VirtualNode(index, Fleets.settings(index, ++lastIncarnation, slices), clockOffset, drift);
        nodes.set(index, node);
        addTrace("start " + node.id + ", clock drift (per mille) " + drift);
        deliver(node, node.announcement());
    }

    void kill(VirtualNode node) {
        if (!node.dead()) {
            addTrace("kill " + node.id);
            node.kill();
            schedule(now + VirtualNode.millisToNanos(RESTART_DELAY_MILLIS), () -> start(node.index));
        }
    }

    void killPermanently(VirtualNode node) {
        addTrace("kill permanently " + node.id);
        node.kill();
    }

    /** Returns the epochs of all slices that are stored in the table service, in the order of the slices. */
    List<Long> epochs() {
        ChunkRow chunk = (ChunkRow) store.row(ChunkRow.keyOf(Fleets.SERVICE, 0)).value();
        return chunk.grants().stream().map(SliceGrant::epoch).toList();
    }

    void pause(VirtualNode node, long millis) {
        addTrace("pause " + node.id + " for " + millis + " ms");
        node.pauseUntil(now + VirtualNode.millisToNanos(millis));
        schedule(node.pausedUntil(), () -> deliver(node, new NodeInput.Tick()));
    }

    void schedule(long time, Runnable action) {
        steps.add(new Step(time, ++lastStepNumber, action));
    }

    void addTrace(String line) {
        if (trace.size() == MAX_TRACE_LINES) {
            trace.removeFirst();
        }
        trace.addLast(now / 1_000_000 + " ms " + line);
    }

    String trace() {
        StringBuilder text = new StringBuilder(String.join("\n", trace));
        for (VirtualNode node : nodes) {
            text.append("\n").append(node).append(node.dead() ? " dead" : " knows ");
            node.core.directory().members().forEach(row -> text.append(row.id())
                    .append(row.status())
                    .append(row.leasePeers()));
            List<Decision> decisions = node.core.decisions().find(VirtualFleet::isSignificant);
            decisions.stream()
                    .skip(Math.max(0, decisions.size() - MAX_DECISIONS_PER_NODE))
                    .forEach(decision -> text.append("\n  ").append(format(node, decision)));
        }
        return text.toString();
    }

    private static boolean isSignificant(Decision decision) {
        return !ROUTINE_EVENTS.contains(decision.event()) && !decision.chart().equals("store-call");
    }

    private static String format(VirtualNode node, Decision decision) {
        return node.trueTime(decision.at()) / 1_000_000 + " ms " + decision.chart() + " " + decision.subject() + " "
                + decision.from() + " " + decision.event() + " " + decision.guard() + " " + decision.to();
    }

    void runUntil(long end) {
        while (!steps.isEmpty() && steps.peek().at() <= end) {
            step();
        }
        now = end;
    }

    private void step() {
        Step step = steps.poll();
        Invariant.require(++stepCount < MAX_STEPS, "a schedule has a limited number of steps");
        now = step.at();
        step.action().run();
        checkLeases();
        checkOwners();
    }

    /** Runs until every slice is served by some node; returns false if that does not happen before {@code end}. */
    boolean runUntilServed(long end) {
        while (!steps.isEmpty() && steps.peek().at() <= end) {
            step();
            if (allServed()) {
                return true;
            }
        }
        return false;
    }

    private void deliver(VirtualNode node, NodeInput input) {
        if (node.dead()) {
            return;
        }
        for (Effect effect : node.handle(input, now)) {
            execute(node, effect);
        }
        if (now < node.pausedUntil()) {
            return;
        }
        long due = Math.max(now + 1, node.trueTime(node.core.nextDue()));
        if (due != node.nextWakeUp && due != Long.MAX_VALUE) {
            node.nextWakeUp = due;
            schedule(due, () -> wakeUp(node, due));
        }
    }

    private void wakeUp(VirtualNode node, long due) {
        if (node.nextWakeUp == due) {
            node.nextWakeUp = -1;
            deliver(node, new NodeInput.Tick());
        }
    }

    private void execute(VirtualNode node, Effect effect) {
        if (effect instanceof Effect.SendToPeer send) {
            send(node, send);
        } else if (effect instanceof Effect.CallStore call) {
            callStore(node, call);
        } else if (effect instanceof Effect.StopProcess) {
            kill(node);
        }
    }

    private void send(VirtualNode from, Effect.SendToPeer send) {
        VirtualNode to = findNode(send.to());
        if (to == null) {
            return;
        }
        NodeInput input = new NodeInput.PeerReceived(from.id, send.message());
        for (long delay : links.deliveryDelays(from.index, to.index)) {
            schedule(now + delay, () -> deliver(to, input));
        }
    }

    /** Returns the node at a member's address: a later incarnation receives messages sent to an earlier one. */
    private VirtualNode findNode(MemberId id) {
        for (VirtualNode node : nodes) {
            if (node != null && node.id.node().equals(id.node())) {
                return node;
            }
        }
        return null;
    }

    private void callStore(VirtualNode node, Effect.CallStore call) {
        if (links.storeUnavailable()) {
            reply(node, call, new StoreReply.Failed(StoreFailure.UNAVAILABLE));
            return;
        }
        for (long delay : links.requestDelays(node.index)) {
            schedule(now + delay, () -> reply(node, call, store.answer(call.request())));
        }
    }

    private void reply(VirtualNode node, Effect.CallStore call, StoreReply reply) {
        for (long delay : links.replyDelays(node.index)) {
            schedule(now + delay, () -> deliver(node, new NodeInput.StoreReplied(call.callId(), reply)));
        }
    }

    private boolean admits(VirtualNode node, SliceId slice) {
        return node != null && !node.dead() && node.core.ownership().admits(slice, node.clock(now));
    }

    private void checkLeases() {
        for (VirtualNode node : nodes) {
            if (node != null && !node.dead() && node.core.lease().holds(node.clock(now))) {
                MemberRow row = (MemberRow) memberRow(node).value();
                Invariant.require(!row.status().hasEnded(), "an ended incarnation holds no lease: " + node);
            }
        }
    }

    private void checkOwners() {
        Row row = store.row(ChunkRow.keyOf(Fleets.SERVICE, 0));
        for (int number = 0; number < slices; number++) {
            SliceId slice = new SliceId(Fleets.SERVICE, number);
            VirtualNode owner = null;
            for (VirtualNode node : nodes) {
                if (admits(node, slice)) {
                    Invariant.require(owner == null, "at most one owner of " + slice + ": " + owner + " and " + node);
                    owner = node;
                    checkGrant(node, slice, ((ChunkRow) row.value()).grants().get(number));
                }
            }
        }
    }

    private static void checkGrant(VirtualNode node, SliceId slice, SliceGrant stored) {
        long epoch = node.core.ownership().epoch(slice);
        boolean isStored = epoch < stored.epoch()
                || epoch == stored.epoch() && stored.owner().equals(node.id);
        Invariant.require(isStored, "an acknowledged grant is stored: " + node.id + ", epoch " + epoch);
    }

    boolean allServed() {
        for (int number = 0; number < slices; number++) {
            SliceId slice = new SliceId(Fleets.SERVICE, number);
            if (nodes.stream().noneMatch(node -> admits(node, slice))) {
                return false;
            }
        }
        return true;
    }

    boolean serves(int index) {
        for (int number = 0; number < slices; number++) {
            if (admits(nodes.get(index), new SliceId(Fleets.SERVICE, number))) {
                return true;
            }
        }
        return false;
    }

    Row memberRow(VirtualNode node) {
        return store.row(MemberRow.keyOf(node.id));
    }
}
