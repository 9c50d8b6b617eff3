package org.verbenamast.core.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberStatus;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowWrite;

/** Four nodes of one service in virtual time, whose links, backend servers and processes fail at random. */
final class FaultyFleet {

    static final ServiceSettings VISIT = new ServiceSettings(new ServiceName("visit"), false, 8, 4, false);

    static final String IDEMPOTENT = "idempotent ";

    private static final int NODES = 4;

    final FakeStore store = new FakeStore();
    private final Random random;
    private final Faults faults;
    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private final List<FakeNode> nodes = new ArrayList<>();
    private final Map<String, List<Long>> executions = new HashMap<>();
    private final Map<RequestId, CallerRequest> requests = new HashMap<>();
    private final List<CallerOutcome> outcomes = new ArrayList<>();
    private int crashes;
    private int peakRequestsAtServer;
    private long now = 1;
    private long stepCount;
    private long incarnations;

    /** How often each fault occurs, in percent of its opportunities. */
    record Faults(
            int shed,
            int lostAnswers,
            int duplicateReplies,
            int brokenLinks,
            int serverRestarts,
            int kills,
            int stops) {}

    /** An outcome that a caller received, and when. */
    record CallerOutcome(RequestId id, CallerRequest request, RequestOutcome outcome, long at) {}

    private record Step(long at, long number, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    FaultyFleet(long seed, Faults faults) {
        this.random = new Random(seed);
        this.faults = faults;
        for (int i = 0; i < NODES; i++) {
            startNode("visit-" + i);
        }
        runUntil(now + Timing.millisToNanos(1_500));
    }

    private void startNode(String name) {
        nodes.add(new FakeNode(this, new MemberId(name, ++incarnations)));
    }

    Faults faults() {
        return faults;
    }

    long now() {
        return now;
    }

    int random(int bound) {
        return random.nextInt(bound);
    }

    boolean chance(int percent) {
        return random.nextInt(100) < percent;
    }

    long millis(int min, int max) {
        return Timing.millisToNanos(min) + (long) (random.nextDouble() * Timing.millisToNanos(max - min));
    }

    void after(long nanos, Runnable action) {
        steps.add(new Step(now + nanos, ++stepCount, action));
    }

    void runUntil(long end) {
        while (!steps.isEmpty() && steps.peek().at() <= end) {
            Step step = steps.poll();
            now = Math.max(now, step.at());
            step.action().run();
        }
        now = end;
    }

    FakeNode node(MemberId id) {
        return nodes.stream()
                .filter(node -> node.id.equals(id) && node.alive)
                .findFirst()
                .orElse(null);
    }

    FakeNode anyNode() {
        List<FakeNode> alive = nodes.stream().filter(node -> node.alive).toList();
        return alive.get(random.nextInt(alive.size()));
    }

    static String echo(CallerRequest request) {
        return request.path() + "|" + new String(request.body().bytes(), StandardCharsets.UTF_8);
    }

    static String identity(RequestId id, CallerRequest request) {
        if (request.method().idempotent()) {
            return IDEMPOTENT + id;
        }
        return request.idempotencyKey().isEmpty() ? id.toString() : request.idempotencyKey();
    }

    RequestId send(CallerRequest request) {
        List<FakeNode> ready = nodes.stream().filter(FakeNode::ready).toList();
        FakeNode entry = ready.isEmpty() ? anyNode() : ready.get(random.nextInt(ready.size()));
        RequestId id = entry.accept(request, Timing.millisToNanos(400));
        requests.put(id, request);
        return id;
    }

    void onExecution(RequestId id, CallerRequest request) {
        executions
                .computeIfAbsent(identity(id, request), key -> new ArrayList<>())
                .add(now);
    }

    void onOutcome(RequestId id, RequestOutcome outcome) {
        after(0, () -> outcomes.add(new CallerOutcome(id, requests.get(id), outcome, now)));
    }

    /** Injects faults at random, with the configured probabilities. */
    void injectFaults() {
        if (chance(faults.brokenLinks())) {
            anyNode().breakLink(anyNode().id);
        }
        if (chance(faults.serverRestarts())) {
            anyNode().restartServer();
        }
        if (chance(faults.kills()) && nodes.size() > NODES / 2) {
            anyNode().kill();
        }
        if (chance(faults.stops()) && nodes.stream().filter(FakeNode::ready).count() == NODES) {
            anyNode().stop();
        }
    }

    /** Replaces a lost node, and ends its incarnation in the store, as its lease peers would do. */
    void onNodeLost(FakeNode node) {
        nodes.remove(node);
        nodes.forEach(other -> after(millis(0, 20), () -> other.breakLink(node.id)));
        after(millis(100, 300), () -> endIncarnation(node.id));
        after(millis(100, 900), () -> startNode(node.id.node()));
    }

    private void endIncarnation(MemberId id) {
        Row row = store.row(MemberRow.keyOf(id));
        if (row != null && !((MemberRow) row.value()).status().hasEnded()) {
            MemberRow ended = ((MemberRow) row.value()).withStatus(MemberStatus.ENDED, "test");
            store.overwrite(new RowWrite(row.key(), row.version(), ended));
        }
    }

    void onRequestsAtServer(int requests) {
        peakRequestsAtServer = Math.max(peakRequestsAtServer, requests);
    }

    int peakRequestsAtServer() {
        return peakRequestsAtServer;
    }

    void onServerCrash() {
        crashes++;
    }

    int crashes() {
        return crashes;
    }

    Map<String, List<Long>> executions() {
        return executions;
    }

    List<CallerOutcome> outcomes() {
        return outcomes;
    }
}
