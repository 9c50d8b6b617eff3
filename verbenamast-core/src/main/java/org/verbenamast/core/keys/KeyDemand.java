package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerIncarnation;

/** The load of the keys of a service and the capacity of its servers, as the load reports of the nodes tell them. */
final class KeyDemand {

    private final String service;
    private final KeyLoad keyLoad = new KeyLoad();
    private final KeyCapacity capacity = new KeyCapacity();
    private final List<Integer> requestedKeys = new ArrayList<>();

    KeyDemand(String service) {
        this.service = Objects.requireNonNull(service, "service");
    }

    void recordRequest(int key) {
        requestedKeys.add(key);
    }

    /** Returns the report on the server beside this node and the requests recorded since the last report. */
    KeyLoadReport takeReport(ServerIncarnation incarnation, int slots, int serviceMillis, boolean cold) {
        KeyLoadReport report = new KeyLoadReport(
                service, incarnation, slots, Math.max(1, serviceMillis), cold, List.copyOf(requestedKeys));
        requestedKeys.clear();
        return report;
    }

    /** Applies a load report; ignores reports of other services. */
    void onLoadReport(KeyLoadReport report, long now) {
        if (report.service().equals(service)) {
            capacity.onLoadReport(report, now);
            keyLoad.add(report.keys(), now);
        }
    }

    KeyPlan plan(List<Member> serving, long now) {
        return new KeyPlan(keyLoad, capacity.candidates(serving, now));
    }
}
