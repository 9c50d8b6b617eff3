package org.verbenamast.core.watch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.node.Timing;

/**
 * Simulates nodes that follow the operators' rows, in virtual time: the store, requests between the nodes, a network
 * that can cut nodes off, links that answers with rows share, and processes that can be frozen.
 */
final class VirtualFollowers {

    /** Interval between the requests of a node to other nodes; that of a node with little traffic. */
    private static final long REQUEST_INTERVAL_MILLIS = 100;

    private static final long STEP_MILLIS = 10;

    /** Length of the one row that changes, in bytes. */
    private static final long ROW_BYTES = 350_000;

    /** Time without impairment after which the platform counts a node as in contact. */
    private static final long CONTACT_MILLIS = 3_000;

    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final Set<Node> cut = new HashSet<>();
    private final Set<Node> frozen = new HashSet<>();
    private final List<Long> changedAt = new ArrayList<>();
    private final boolean exchanging;
    private long millis = 1_000;
    private long version = 1;
    private long calls;
    private long transferMillis;
    private long overdueMillis;
    private int brokenOff;

    /**
     * A call that is pending at the store, or that was lost in the network and ends by its time-out.
     *
     * @param id the number of the call
     * @param after the version after which changes are requested; nothing for a read of all rows
     * @param timeoutMillis the time-out of the call, in milliseconds
     * @param maxBytes the length from which on the answer is not received, in bytes
     * @param endsAt the time when the store answers without rows or, if the call was lost, of its time-out, in
     *     milliseconds
     * @param lost whether the call was lost
     * @param answer the version that the store has answered with; 0 while it waits for a change
     * @param left how many rows have not arrived, in parts of a row
     * @param reported whether the node knows that the answer is arriving
     */
    private record Call(
            long id,
            OptionalLong after,
            long timeoutMillis,
            long maxBytes,
            long endsAt,
            boolean lost,
            long answer,
            double left,
            boolean reported) {

        private Call lostUntil(long timeoutAt) {
            return new Call(id, after, timeoutMillis, maxBytes, timeoutAt, true, 0, 0, false);
        }

        /** Lets the store answer if it has a change or the wait is over: with one row for each change. */
        private Call advance(long version, long now) {
            long rows = after.isPresent() ? version - after.getAsLong() : 1;
            boolean due = !lost && answer == 0 && (rows > 0 || now >= endsAt);
            return due ? new Call(id, after, timeoutMillis, maxBytes, endsAt, false, version, rows, false) : this;
        }

        private Call received(double rows) {
            return arriving()
                    ? new Call(id, after, timeoutMillis, maxBytes, endsAt, lost, answer, left - rows, reported)
                    : this;
        }

        private boolean arriving() {
            return left > 0;
        }

        private boolean oversized() {
            return after.isPresent() && (answer - after.getAsLong()) * ROW_BYTES > maxBytes;
        }

        private FollowInput input() {
            boolean empty = after.isPresent() && answer <= after.getAsLong();
            return FollowInput.ofAnswer(answer, empty ? 0 : answer, empty).withBytes(empty ? 0 : ROW_BYTES);
        }

        private Call withReport() {
            return new Call(id, after, timeoutMillis, maxBytes, endsAt, lost, answer, left, true);
        }
    }

    private final class Node {

        private final FollowController controller = new FollowController(random::nextDouble, TransitionListener.NONE);
        private final List<Call> pending = new ArrayList<>();
        private long known;
        private long impairedUntil;

        private void execute(Effect effect) {
            if (effect instanceof FollowEffect.ReadAll read && read.table() == FollowedTable.OPERATORS) {
                OptionalLong all = OptionalLong.empty();
                add(new Call(read.callId(), all, read.timeoutMillis(), 0, millis, false, 0, 0, false));
            } else if (effect instanceof FollowEffect.Await await && await.table() == FollowedTable.OPERATORS) {
                calls++;
                OptionalLong after = OptionalLong.of(await.afterVersion());
                long endsAt = millis + await.waitMillis();
                long timeout = await.timeoutMillis();
                add(new Call(await.callId(), after, timeout, await.maxBytes(), endsAt, false, 0, 0, false));
            } else if (effect instanceof FollowEffect.Cancel cancel && cancel.table() == FollowedTable.OPERATORS) {
                brokenOff += pending.removeIf(call -> call.id() == cancel.callId() && call.reported()) ? 1 : 0;
                pending.removeIf(call -> call.id() == cancel.callId());
            }
        }

        private void add(Call call) {
            pending.add(cut.contains(this) ? call.lostUntil(millis + call.timeoutMillis()) : call);
        }

        private void step() {
            if (!frozen.contains(this)) {
                controller.advance(now(), this::execute);
            }
            transfer();
            if (!frozen.contains(this)) {
                List.copyOf(pending).forEach(this::report);
                List.copyOf(pending).forEach(this::end);
            }
        }

        /** Receives parts of the answers that are arriving, each at an equal share of the link. */
        private void transfer() {
            pending.replaceAll(call -> call.advance(version, millis));
            long arriving = pending.stream().filter(Call::arriving).count();
            double share = (double) STEP_MILLIS / (transferMillis * arriving);
            pending.replaceAll(call -> call.received(share));
        }

        private void report(Call call) {
            if (!pending.contains(call) || !call.arriving() || call.reported()) {
                return;
            }
            if (call.oversized()) {
                end(call, FollowEvent.OVERSIZED, FollowInput.NONE);
            } else {
                pending.set(pending.indexOf(call), call.withReport());
                controller.onAnswerArriving(FollowedTable.OPERATORS, call.id(), now(), this::execute);
            }
        }

        private void end(Call call) {
            if (call.lost() && millis >= call.endsAt()) {
                end(call, FollowEvent.FAILED, FollowInput.NONE);
            } else if (pending.contains(call) && call.answer() > 0 && !call.arriving()) {
                FollowEvent event = call.after().isPresent() ? FollowEvent.CHANGED : FollowEvent.READ;
                known = Math.max(known, call.input().latest());
                end(call, event, call.input());
            }
        }

        private void end(Call call, FollowEvent event, FollowInput input) {
            pending.remove(call);
            controller.onCallEnded(FollowedTable.OPERATORS, call.id(), event, input, now(), this::execute);
        }
    }

    VirtualFollowers(int size, long seed, boolean exchanging) {
        this.random = new Random(seed);
        this.exchanging = exchanging;
        for (int i = 0; i < size; i++) {
            nodes.add(new Node());
        }
    }

    /** Sets how long a row takes to arrive if no other answer is arriving at the node, in milliseconds. */
    void answersTake(long transferTimeMillis) {
        transferMillis = transferTimeMillis;
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
            nodes.forEach(this::recordOverdue);
        }
    }

    private boolean impaired(Node node) {
        return cut.contains(node) || frozen.contains(node);
    }

    /** Records for how long a node in contact has not known the oldest change that it lacks. */
    private void recordOverdue(Node node) {
        if (impaired(node)) {
            node.impairedUntil = millis;
        } else if (node.known > 0 && node.known < version && millis - node.impairedUntil >= CONTACT_MILLIS) {
            overdueMillis = Math.max(overdueMillis, millis - changedAt.get((int) node.known - 1));
        }
    }

    /** Returns how many calls were cancelled while their answer arrived. */
    int brokenOffAnswers() {
        return brokenOff;
    }

    private void request(Node from) {
        Node to = nodes.get(random.nextInt(nodes.size()));
        if (from != to && !impaired(from) && !impaired(to)) {
            to.controller.onVersions(from.controller.versions(now()), now(), to::execute);
            from.controller.onAnsweredVersions(to.controller.versions(now()), now(), now(), from::execute);
        }
    }

    /** Cuts off a random share of the nodes, whose pending calls are lost. */
    void cutOff(double share) {
        for (Node node : nodes) {
            if (random.nextDouble() < share) {
                cut.add(node);
                node.pending.replaceAll(call -> call.lostUntil(call.endsAt() + call.timeoutMillis()));
            }
        }
    }

    void heal() {
        cut.clear();
    }

    /** Freezes a random share of the nodes: they handle nothing, while answers go on arriving. */
    void freeze(double share) {
        nodes.stream().filter(node -> random.nextDouble() < share).forEach(frozen::add);
    }

    void wake() {
        frozen.clear();
    }

    void change() {
        version++;
        changedAt.add(millis);
    }

    boolean allKnow() {
        return nodes.stream().allMatch(node -> node.known == version);
    }

    /**
     * Makes changes at an interval, and runs until the interval after the last one is over.
     *
     * @return the longest time for which a node in contact has not known a change meanwhile, in milliseconds
     */
    long changeRepeatedly(int times, long intervalMillis) {
        overdueMillis = 0;
        for (int i = 0; i < times; i++) {
            change();
            runFor(intervalMillis);
        }
        return overdueMillis;
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
