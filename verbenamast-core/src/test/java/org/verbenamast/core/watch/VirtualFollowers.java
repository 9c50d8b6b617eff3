package org.verbenamast.core.watch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.node.Timing;

/**
 * Simulates nodes that follow the operators' rows, in virtual time: the store, requests between the nodes, and a
 * network that can cut nodes off.
 */
final class VirtualFollowers {

    /** Interval between the requests of a node to other nodes; that of a node with little traffic. */
    private static final long REQUEST_INTERVAL_MILLIS = 100;

    private static final long STEP_MILLIS = 10;

    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final Set<Node> cut = new HashSet<>();
    private final boolean exchanging;
    private long millis = 1_000;
    private long version = 1;
    private long calls;

    /** A call that is pending at the store, or that was lost in the network and ends by its time-out. */
    private record Call(FollowEffect.Await await, long endsAt, boolean lost) {}

    private final class Node {

        private final FollowController controller = new FollowController(random::nextDouble, TransitionListener.NONE);
        private final List<Call> pending = new ArrayList<>();
        private final List<Long> reads = new ArrayList<>();
        private long known;

        private void execute(Effect effect) {
            if (effect instanceof FollowEffect.ReadAll read && read.table() == FollowedTable.OPERATORS) {
                reads.add(read.callId());
            } else if (effect instanceof FollowEffect.Await await && await.table() == FollowedTable.OPERATORS) {
                calls++;
                boolean lost = cut.contains(this);
                long durationMillis = lost ? await.timeoutMillis() : await.waitMillis();
                pending.add(new Call(await, millis + durationMillis, lost));
            }
        }

        private void answer(long callId, FollowEvent event, FollowInput input) {
            known = Math.max(known, input.latest());
            controller.onCallEnded(FollowedTable.OPERATORS, callId, event, input, now(), this::execute);
        }

        private void step() {
            controller.advance(now(), this::execute);
            List<Long> answered = List.copyOf(reads);
            reads.clear();
            answered.forEach(callId -> answer(callId, FollowEvent.READ, FollowInput.ofAnswer(version, version, false)));
            for (Call call : List.copyOf(pending)) {
                if (call.lost()) {
                    end(call, millis >= call.endsAt(), FollowEvent.FAILED, FollowInput.NONE);
                } else if (version > call.await().afterVersion()) {
                    end(call, true, FollowEvent.CHANGED, FollowInput.ofAnswer(version, version, false));
                } else {
                    end(call, millis >= call.endsAt(), FollowEvent.CHANGED, FollowInput.ofAnswer(version, 0, true));
                }
            }
        }

        private void end(Call call, boolean due, FollowEvent event, FollowInput input) {
            if (due) {
                pending.remove(call);
                answer(call.await().callId(), event, input);
            }
        }
    }

    VirtualFollowers(int size, long seed, boolean exchanging) {
        this.random = new Random(seed);
        this.exchanging = exchanging;
        for (int i = 0; i < size; i++) {
            nodes.add(new Node());
        }
    }

    private long now() {
        return Timing.millisToNanos(millis);
    }

    /** Starts the nodes one after another within about a second. */
    void start() {
        for (Node node : nodes) {
            node.controller.start(now(), node::execute);
            if (random.nextInt(nodes.size()) * STEP_MILLIS < 1_000) {
                runFor(STEP_MILLIS);
            }
        }
    }

    void runFor(long durationMillis) {
        for (long end = millis + durationMillis; millis < end; millis += STEP_MILLIS) {
            nodes.forEach(Node::step);
            if (exchanging && millis % REQUEST_INTERVAL_MILLIS == 0) {
                nodes.forEach(this::request);
            }
        }
    }

    private void request(Node from) {
        Node to = nodes.get(random.nextInt(nodes.size()));
        if (from != to && !cut.contains(from) && !cut.contains(to)) {
            to.controller.onVersions(from.controller.versions(now()), now(), to::execute);
            from.controller.onAnsweredVersions(to.controller.versions(now()), now(), now(), from::execute);
        }
    }

    /** Cuts off a random share of the nodes, whose pending calls are lost. */
    void cutOff(double share) {
        for (Node node : nodes) {
            if (random.nextDouble() < share) {
                cut.add(node);
                node.pending.replaceAll(call ->
                        new Call(call.await(), call.endsAt() + call.await().timeoutMillis(), true));
            }
        }
    }

    void heal() {
        cut.clear();
    }

    void change() {
        version++;
    }

    boolean allKnow() {
        return nodes.stream().allMatch(node -> node.known == version);
    }

    /** Runs until all nodes know the newest version, and returns how long that took. */
    long millisUntilAllKnow(long maxMillis) {
        long from = millis;
        while (!allKnow() && millis - from < maxMillis) {
            runFor(STEP_MILLIS);
        }
        return millis - from;
    }

    /** Runs for a time and returns the average number of calls per node and second. */
    double callsPerSecond(long durationMillis) {
        calls = 0;
        runFor(durationMillis);
        return calls * 1_000.0 / durationMillis / nodes.size();
    }
}
