package org.verbenamast.core.gate.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.RowChange;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowReplica;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoredRow;

/**
 * Stops requests that crash the backend servers that run them. The node beside a server that crashes reports what the
 * server was running, in a row that all nodes know. A request that was part of two crashes, and that no server has
 * answered lately, is refused wherever it arrives. A request that is answered is removed from the reports.
 */
public final class CrashReportController {

    /** Crashes after which a request is stopped. */
    private static final int CRASHES_TO_STOP = 2;
    /**
     * Longest delay before a node corrects a report, in nanoseconds; random, so that nodes that see the same answers do
     * not all write the same correction.
     */
    private static final long MAX_CORRECTION_DELAY_NANOS = Timing.millisToNanos(2_000);

    private final String node;
    private final RowReplica replica;
    private final ReportedSuspects suspects;
    private final DoubleSupplier random;
    /** The requests that are queued for the server beside this node or running there, by number. */
    private final Map<Long, FingerprintDigest> arrived = new HashMap<>();

    private final LocalIncidents incidents = new LocalIncidents();
    private final RecentAnswers answers = new RecentAnswers();
    private final List<CrashReport> unwritten = new ArrayList<>();
    /** The reported requests that have been answered, and when this node is to remove them from the reports. */
    private final Map<Fingerprint, Long> corrections = new HashMap<>();

    /** The answered requests that this node removes from the reports now. */
    private final Set<Fingerprint> corrected = new HashSet<>();

    /**
     * Creates a controller without reports.
     *
     * @param node the name of this node
     * @param replica this node's copy of the stored rows
     * @param suspects the requests that the rows name
     * @param random a source of numbers that are evenly distributed from 0 (inclusive) to 1 (exclusive)
     */
    public CrashReportController(String node, RowReplica replica, ReportedSuspects suspects, DoubleSupplier random) {
        this.node = Objects.requireNonNull(node, "node");
        this.replica = Objects.requireNonNull(replica, "replica");
        this.suspects = Objects.requireNonNull(suspects, "suspects");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Returns whether a request may turn out to be a suspected one once its body is known.
     *
     * @param withoutBody the fingerprint of the request without a body
     * @return whether a suspected request has the same caller and path
     */
    public boolean mayBeSuspect(Fingerprint withoutBody) {
        return suspects.hasHeadOf(withoutBody);
    }

    /**
     * Returns whether a request must not run.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @return whether it was part of too many crashes and was not answered since
     */
    public boolean isStopped(Fingerprint request, long now) {
        return suspects.crashes(request) >= CRASHES_TO_STOP && !answers.contains(request, now);
    }

    /**
     * Handles the answer of a server to a request: the request crashes no server.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     */
    public void onAnswered(Fingerprint request, long now) {
        answers.add(request, now);
        if (suspects.crashes(request) > 0 && !corrected.contains(request)) {
            long delay = (long) (random.getAsDouble() * MAX_CORRECTION_DELAY_NANOS);
            corrections.putIfAbsent(request, now + delay);
        }
    }

    /**
     * Records that a request for the server beside this node has arrived.
     *
     * @param id the request's number
     * @param content what of the request has arrived so far
     */
    public void onArrived(long id, FingerprintDigest content) {
        arrived.put(id, content);
    }

    /**
     * Returns whether a request for the server beside this node must not run.
     *
     * @param id the request's number
     * @param now the monotonic time, in nanoseconds
     * @return whether it is stopped, as far as its body has arrived
     */
    public boolean isStopped(long id, long now) {
        return !suspects.isEmpty()
                && arrived.containsKey(id)
                && isStopped(arrived.get(id).fingerprint(), now);
    }

    /**
     * Handles the answer of the server beside this node to a request, unless the request has ended before.
     *
     * @param id the request's number
     * @param now the monotonic time, in nanoseconds
     */
    public void onAnswered(long id, long now) {
        if (arrived.containsKey(id)) {
            onAnswered(arrived.get(id).fingerprint(), now);
        }
    }

    /**
     * Handles the loss of the connection to the server beside this node while it was running a request, unless the
     * request has ended before.
     *
     * @param id the request's number
     * @param server the incarnation that was running it
     */
    public void onConnectionLost(long id, ServerIncarnation server) {
        if (arrived.containsKey(id)) {
            incidents.add(server.toString(), arrived.get(id).fingerprint());
        }
    }

    /**
     * Records that this node keeps a request no longer.
     *
     * @param id the request's number
     */
    public void onEnded(long id) {
        arrived.remove(id);
    }

    /**
     * Handles a heartbeat: another incarnation shows that the earlier one crashed, the same one that it did not.
     *
     * @param server the incarnation that sent the heartbeat
     * @param now the monotonic time, in nanoseconds
     */
    public void onHeartbeat(ServerIncarnation server, long now) {
        report(incidents.onAnnouncement(server.toString()), now);
    }

    /**
     * Handles that the server beside this node accepts no connection any more, or sends no heartbeats.
     *
     * @param now the monotonic time, in nanoseconds
     */
    public void onServerUnreachable(long now) {
        report(incidents.onServerUnreachable(), now);
    }

    private void report(List<LocalIncidents.ResolvedIncident> resolved, long now) {
        for (LocalIncidents.ResolvedIncident incident : resolved) {
            List<Fingerprint> suspected = incident.fingerprints().stream()
                    .filter(request -> !answers.contains(request, now))
                    .toList();
            if (incident.kind() == CrashNoticeKind.CONFIRMED && !suspected.isEmpty()) {
                unwritten.add(new CrashReport(incident.startId(), suspected));
            }
        }
    }

    /** Writes the reports of this node again, as far as the store has lost them with its last era. */
    public void writeAgain() {
        unwritten.addAll(
                0,
                suspects.reportsByNode().getOrDefault(node, CrashReports.NONE).reports());
    }

    /**
     * Returns the changes of rows that add this node's reports, and that remove answered requests from all reports.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the changes; empty if none are needed
     */
    public List<RowChange> wantedChanges(long now) {
        if (unwritten.isEmpty() && corrections.isEmpty() && corrected.isEmpty()) {
            return List.of();
        }
        corrections.forEach((request, at) -> {
            if (now >= at) {
                corrected.add(request);
            }
        });
        corrections.keySet().removeAll(corrected);
        corrections.keySet().removeIf(request -> suspects.crashes(request) == 0);
        corrected.removeIf(request -> suspects.crashes(request) == 0);
        unwritten.replaceAll(report -> report.without(request -> answers.contains(request, now)));
        unwritten.removeIf(report -> report.suspects().isEmpty());
        Set<String> nodes = new HashSet<>(suspects.reportsByNode().keySet());
        nodes.add(node);
        List<RowChange> changes = new ArrayList<>();
        nodes.forEach(each -> change(each).ifPresent(changes::add));
        return changes;
    }

    private Optional<RowChange> change(String reporter) {
        StoredRow known = replica.find(new RowRef(RowTable.CRASHES, reporter));
        CrashReports before = suspects.reportsByNode().getOrDefault(reporter, CrashReports.NONE);
        CrashReports after = before;
        if (reporter.equals(node)) {
            unwritten.removeIf(report -> before.with(report).equals(before));
            for (CrashReport report : unwritten) {
                after = after.with(report);
            }
        }
        after = after.without(corrected::contains);
        if (after.equals(before)) {
            return Optional.empty();
        }
        return Optional.of(new RowChange(
                known.ref(),
                known.expectedVersion(),
                after.reports().isEmpty() ? Optional.empty() : Optional.of(after)));
    }

    /**
     * Returns when a correction is due.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        long due = Long.MAX_VALUE;
        for (long at : corrections.values()) {
            due = Math.min(due, at);
        }
        return due;
    }
}
