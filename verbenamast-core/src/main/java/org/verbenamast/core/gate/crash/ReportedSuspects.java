package org.verbenamast.core.gate.crash;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The requests that the reports of all nodes name, and how many crashes each was part of. */
public final class ReportedSuspects {

    private final Map<String, CrashReports> reportsByNode = new HashMap<>();
    private final Map<Fingerprint, Integer> crashes = new HashMap<>();
    private final Set<Integer> heads = new HashSet<>();

    /**
     * Replaces the reports of a node.
     *
     * @param node the node
     * @param reports all its reports
     */
    public void put(String node, CrashReports reports) {
        if (reports.reports().isEmpty()) {
            reportsByNode.remove(node);
        } else {
            reportsByNode.put(node, reports);
        }
        crashes.clear();
        heads.clear();
        reportsByNode.values().forEach(row -> row.reports()
                .forEach(report -> report.suspects().forEach(suspect -> {
                    crashes.merge(suspect, 1, Integer::sum);
                    heads.add(suspect.head());
                })));
    }

    /** Returns the reports of each node that has any. */
    Map<String, CrashReports> reportsByNode() {
        return reportsByNode;
    }

    /** Returns whether no report names any request. */
    boolean isEmpty() {
        return crashes.isEmpty();
    }

    /** Returns in how many reported crashes a request was running. */
    int crashes(Fingerprint request) {
        return crashes.getOrDefault(request, 0);
    }

    /** Returns whether a reported request has the caller and path of the given one. */
    boolean hasHeadOf(Fingerprint request) {
        return heads.contains(request.head());
    }
}
