package org.verbenamast.core.gate.crash;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.RowChange;
import org.verbenamast.core.rows.RowReplica;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoredRow;

import static org.assertj.core.api.Assertions.assertThat;

/** Nodes that share their rows, beside servers that a request crashes. */
class CrashReportControllerTest {

    private static final long SECOND = Timing.millisToNanos(1_000);

    private final List<StoredRow> store = new ArrayList<>();
    private long version;
    private long now = SECOND;
    private long lastId;

    /** A node and what it knows. */
    private final class Node {

        private final String name;
        private final ReportedSuspects suspects = new ReportedSuspects();
        private final RowReplica replica =
                new RowReplica(row -> suspects.put(row.ref().key(), CrashReports.of(row)));
        private final CrashReportController controller;
        private ServerIncarnation server;

        private Node(String name) {
            this.name = name;
            this.controller = new CrashReportController(name, replica, suspects, () -> 0.5);
            this.server = new ServerIncarnation("i-" + name, 1);
            replica.apply(store);
        }

        private long start(FingerprintDigest request) {
            long id = ++lastId;
            controller.onArrived(id, request);
            return id;
        }

        private void answer(FingerprintDigest request) {
            controller.onAnswered(start(request), now);
        }

        /** Has the server crash while it runs the requests, and come back. */
        private void crash(FingerprintDigest... requests) {
            for (FingerprintDigest request : requests) {
                controller.onConnectionLost(start(request), server);
            }
            server = new ServerIncarnation(server.id(), server.startedAt() + 1);
            controller.onHeartbeat(server, now);
        }

        private boolean stops(FingerprintDigest request) {
            return controller.isStopped(request.fingerprint(), now);
        }

        private List<StoredRow> commit() {
            List<StoredRow> committed = new ArrayList<>();
            for (RowChange change : controller.wantedChanges(now)) {
                assertThat(change.expectedVersion())
                        .isEqualTo(replica.find(change.ref()).expectedVersion());
                committed.add(change.committedRow(++version));
            }
            return committed;
        }
    }

    private static FingerprintDigest request(String path, String body) {
        FingerprintDigest digest = new FingerprintDigest("desk", path);
        digest.update(body.getBytes(StandardCharsets.UTF_8));
        return digest;
    }

    private void share(Node... nodes) {
        for (Node writer : nodes) {
            List<StoredRow> committed = writer.commit();
            store.addAll(committed);
            for (Node each : nodes) {
                each.replica.apply(committed);
            }
        }
    }

    /** Guards against a request that crashes each server that runs it, and was sent on for ever. */
    @Test
    void should_stop_a_request_at_every_node_when_it_has_crashed_two_servers() {
        // given
        Node a = new Node("a");
        Node b = new Node("b");
        Node c = new Node("c");
        FingerprintDigest poison = request("/order/4711", "x");

        // when
        a.crash(poison);
        share(a, b, c);
        assertThat(c.stops(poison)).isFalse();
        b.crash(poison);
        share(a, b, c);

        // then
        for (Node each : List.of(a, b, c, new Node("a"), new Node("d"))) {
            assertThat(each.stops(poison)).isTrue();
            assertThat(each.controller.mayBeSuspect(request("/order/4711", "").fingerprint()))
                    .isTrue();
            assertThat(each.stops(request("/order/4711", "y"))).isFalse();
            assertThat(each.stops(request("/order/1", "x"))).isFalse();
        }
    }

    @Test
    void should_count_a_crash_once_when_it_broke_several_connections() {
        // given
        Node a = new Node("a");
        FingerprintDigest poison = request("/order/4711", "x");

        // when
        a.controller.onConnectionLost(a.start(poison), a.server);
        a.controller.onServerUnreachable(now);
        share(a);
        a.controller.onConnectionLost(a.start(poison), a.server);
        a.controller.onServerUnreachable(now);
        share(a);

        // then
        assertThat(a.stops(poison)).isFalse();
    }

    @Test
    void should_report_nothing_when_the_server_goes_on_after_a_broken_connection() {
        // given
        Node a = new Node("a");
        a.controller.onConnectionLost(a.start(request("/order/4711", "x")), a.server);

        // when
        a.controller.onHeartbeat(a.server, now);
        a.controller.onHeartbeat(a.server, now);
        a.controller.onServerUnreachable(now);

        // then
        assertThat(a.controller.wantedChanges(now)).isEmpty();
    }

    @Test
    void should_never_stop_requests_that_are_answered_when_they_run_beside_one_that_crashes_servers() {
        // given
        Node a = new Node("a");
        Node b = new Node("b");
        FingerprintDigest common = request("/order/1", "one slot");
        FingerprintDigest poison = request("/order/4711", "x");

        // when
        for (int i = 0; i < 3; i++) {
            a.answer(common);
            b.answer(common);
            a.crash(common, poison);
            b.crash(common, poison);
            share(a, b);
        }

        // then
        assertThat(a.stops(poison)).isTrue();
        for (Node each : List.of(a, b, new Node("c"))) {
            assertThat(each.stops(common)).isFalse();
        }
    }

    /** The nodes that report have just started and know no answers yet. */
    @Test
    void should_correct_the_reports_when_a_reported_request_is_answered() {
        // given
        Node a = new Node("a");
        Node b = new Node("b");
        Node c = new Node("c");
        FingerprintDigest common = request("/order/1", "one slot");
        c.answer(common);
        a.crash(common);
        b.crash(common);
        share(a, b, c);
        assertThat(a.stops(common)).isTrue();
        assertThat(c.stops(common)).isFalse();

        // when
        c.answer(common);
        assertThat(c.controller.wantedChanges(now)).isEmpty();
        now = c.controller.nextDue();
        share(a, b, c);

        // then
        for (Node each : List.of(a, b, c, new Node("d"))) {
            assertThat(each.stops(common)).isFalse();
            assertThat(each.controller.wantedChanges(now)).isEmpty();
            assertThat(each.controller.nextDue()).isEqualTo(Long.MAX_VALUE);
        }
    }

    @Test
    void should_keep_the_reports_of_an_earlier_process_when_a_node_starts_again() {
        // given
        Node a = new Node("a");
        FingerprintDigest poison = request("/order/4711", "x");
        a.crash(poison);
        share(a);
        Node again = new Node("a");
        again.server = new ServerIncarnation("i-a", 9);

        // when
        again.crash(poison);
        share(again);

        // then
        assertThat(again.stops(poison)).isTrue();
    }

    @Test
    void should_bound_a_row_when_a_server_crashes_for_ever() {
        // given
        Node a = new Node("a");

        // when
        for (int i = 0; i < 100; i++) {
            FingerprintDigest[] requests = new FingerprintDigest[100];
            for (int k = 0; k < requests.length; k++) {
                requests[k] = request("/order/" + i + "/" + k, "x");
            }
            a.crash(requests);
            share(a);
        }

        // then
        CrashReports row = CrashReports.of(a.replica.find(store.get(0).ref()));
        assertThat(row.reports()).hasSize(16);
        assertThat(row.reports())
                .allSatisfy(report -> assertThat(report.suspects()).hasSize(64));
        assertThat(store.get(0).ref().table()).isEqualTo(RowTable.CRASHES);
    }

    @Test
    void should_count_only_the_beginning_of_a_body() {
        // given
        FingerprintDigest whole = new FingerprintDigest("desk", "/");
        FingerprintDigest inPieces = new FingerprintDigest("desk", "/");
        byte[] body = new byte[FingerprintDigest.MAX_BODY_BYTES + 5];

        // when
        whole.update(body);
        for (int i = 0; i < FingerprintDigest.MAX_BODY_BYTES; i += 1_024) {
            assertThat(inPieces.isFull()).isFalse();
            inPieces.update(new byte[1_024]);
        }

        // then
        assertThat(whole.isFull()).isTrue();
        assertThat(inPieces.isFull()).isTrue();
        assertThat(whole.fingerprint()).isEqualTo(inPieces.fingerprint());
        assertThat(whole.fingerprint())
                .isNotEqualTo(new FingerprintDigest("shop", "/").fingerprint())
                .isNotEqualTo(new FingerprintDigest("desk", "/").fingerprint());
    }
}
