package org.verbenamast.core.watch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.node.Timing;

/** Nodes that follow the operators' rows on virtual time: a store, requests between nodes, a network that cuts. */
final class VirtualFollowers {

    /** Time between two requests of a node to another one, in milliseconds; a slow one of the users' nodes. */
    private static final long REQUEST_EVERY = 100;

    private static final long STEP = 10;

    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final Set<Node> cut = new HashSet<>();
    private final boolean telling;
    private long millis = 1_000;
    private long version = 1;
    private long calls;

    /** A call that waits at the store, or that the network has swallowed. */
    private record Call(FollowEffect.Await await, long endsAt, boolean swallowed) {}

    private final class Node {

        private final FollowController desk = new FollowController(random::nextDouble, TransitionListener.NONE);
        private final List<Call> waiting = new ArrayList<>();
        private final List<Long> reads = new ArrayList<>();
        private long known;

        private void run(Effect effect) {
            if (effect instanceof FollowEffect.ReadAll read && read.table() == FollowedTable.OPERATORS) {
                reads.add(read.ticket());
            } else if (effect instanceof FollowEffect.Await await && await.table() == FollowedTable.OPERATORS) {
                calls++;
                boolean swallowed = cut.contains(this);
                long lasts = swallowed ? await.lostAfterMillis() : await.waitMillis();
                waiting.add(new Call(await, millis + lasts, swallowed));
            }
        }

        private void answer(long ticket, FollowEvent event, FollowInput input) {
            known = Math.max(known, input.latest());
            desk.ended(FollowedTable.OPERATORS, ticket, event, input, now(), this::run);
        }

        private void step() {
            desk.advance(now(), this::run);
            List<Long> answered = List.copyOf(reads);
            reads.clear();
            answered.forEach(ticket -> answer(ticket, FollowEvent.READ, FollowInput.answered(version, version, false)));
            for (Call call : List.copyOf(waiting)) {
                if (call.swallowed()) {
                    end(call, millis >= call.endsAt(), FollowEvent.FAILED, FollowInput.NONE);
                } else if (version > call.await().after()) {
                    end(call, true, FollowEvent.CHANGED, FollowInput.answered(version, version, false));
                } else {
                    end(call, millis >= call.endsAt(), FollowEvent.CHANGED, FollowInput.answered(version, 0, true));
                }
            }
        }

        private void end(Call call, boolean due, FollowEvent event, FollowInput input) {
            if (due) {
                waiting.remove(call);
                answer(call.await().ticket(), event, input);
            }
        }
    }

    VirtualFollowers(int size, long seed, boolean telling) {
        this.random = new Random(seed);
        this.telling = telling;
        for (int i = 0; i < size; i++) {
            nodes.add(new Node());
        }
    }

    private long now() {
        return Timing.millisToNanos(millis);
    }

    /** Starts the nodes one after another within a second. */
    void start() {
        for (Node node : nodes) {
            node.desk.start(now(), node::run);
            if (random.nextInt(nodes.size()) * STEP < 1_000) {
                runFor(STEP);
            }
        }
    }

    void runFor(long time) {
        for (long end = millis + time; millis < end; millis += STEP) {
            nodes.forEach(Node::step);
            if (telling && millis % REQUEST_EVERY == 0) {
                nodes.forEach(this::request);
            }
        }
    }

    private void request(Node from) {
        Node to = nodes.get(random.nextInt(nodes.size()));
        if (from != to && !cut.contains(from) && !cut.contains(to)) {
            to.desk.told(from.desk.news(now()), now(), to::run);
            from.desk.told(to.desk.news(now()), now(), from::run);
        }
    }

    /** Cuts off a share of the nodes: what waits at the store for them is swallowed. */
    void cutOff(double share) {
        for (Node node : nodes) {
            if (random.nextDouble() < share) {
                cut.add(node);
                node.waiting.replaceAll(call ->
                        new Call(call.await(), call.endsAt() + call.await().lostAfterMillis(), true));
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

    /** Runs until all nodes know the newest version. */
    long millisUntilAllKnow(long most) {
        long from = millis;
        while (!allKnow() && millis - from < most) {
            runFor(STEP);
        }
        return millis - from;
    }

    /** Returns the calls of a node in a second since the last time that this was asked. */
    double callsPerSecond(long overMillis) {
        calls = 0;
        runFor(overMillis);
        return calls * 1_000.0 / overMillis / nodes.size();
    }
}
